"""Stand-ins for the users' platform, after their page PROTOCOL.md: the store
(a log with keyed topics), runners and the settings of nodes. One process, one
event loop; everything listens on 127.0.0.1 and on free ports.

A script makes a Site, starts nodes with it, talks to them with call(), causes
its disruption, and judges what the runners and clients have seen.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "release", "keelbridge-node")


class Record:
    """The case's record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def write(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.begin, text)
        self.file.write(line + "\n")
        self.file.flush()


class NoAnswer(Exception):
    """The server says nothing more on this connection."""


class Server:
    """A small HTTP/1.1 server with keep-alive."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.mode = "ok"  # ok; mute: reads and never answers; reset.

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return "127.0.0.1:%d" % self.port

    def reset_all(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset_all()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.mode == "reset":
                    writer.transport.abort()
                    return
                if self.mode == "mute":
                    await asyncio.sleep(3600)
                status, kind, out = await self.handler(method, target, headers, body)
                if self.mode == "mute":
                    await asyncio.sleep(3600)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                    % (status, kind.encode(), len(out)) + out)
                await writer.drain()
        except NoAnswer:
            await asyncio.sleep(3600)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def json_answer(status, body):
    return status, "application/json", json.dumps(body).encode()


def query_of(target):
    path, _, text = target.partition("?")
    query = {}
    for pair in text.split("&"):
        name, _, value = pair.partition("=")
        if name:
            query[name] = value
    return path, query


def unquote(text):
    from urllib.parse import unquote as plain
    return plain(text)


class Topic:
    def __init__(self):
        self.log = []  # (key, value), by offset
        self.newest = {}  # key -> (value, offset)
        self.writers = {}  # producer -> [epoch, next sequence, {sequence: answer}]
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.topics = {}
        self.record = record
        self.mode = "ok"  # ok; busy: 503; silent: no answers; slow.
        self.delay = 0.004
        self.lost = lambda path, topic: False  # Done and not answered.
        self.late = lambda path, topic: 0  # Seconds; not answered, done then.
        self.server = Server(self.handle)
        self.appends = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        topic = self.topic(name)
        offset = len(topic.log)
        topic.log.append((key, value))
        if value:
            topic.newest[key] = (value, offset)
        else:
            topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        path, query = query_of(target)
        await asyncio.sleep(self.delay)
        if self.mode == "silent":
            raise NoAnswer()
        if self.mode == "busy":
            return json_answer(503, {})
        topic = self.topic(query.get("topic", ""))
        if path == "/log-append":
            late = self.late(path, query.get("topic"))
            if late:
                asyncio.get_event_loop().call_later(late, self.append, topic, query, body)
                raise NoAnswer()
            answer = self.append(topic, query, body)
            if self.lost(path, query.get("topic")):
                raise NoAnswer()
            return answer
        if path == "/log-read":
            return await self.read(topic, query)
        if path == "/log-newest":
            return self.newest(topic, query)
        return json_answer(404, {})

    def append(self, topic, query, body):
        self.appends += 1
        records = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            key_length = body[at + 4]
            key = body[at + 5:at + 5 + key_length].decode("latin-1")
            records.append((key, body[at + 5 + key_length:at + 4 + length]))
            at += 4 + length
        end = len(topic.log)
        if "at" in query and int(query["at"]) != end:
            return json_answer(412, {"end": end})
        sequence = int(query.get("callSequence", -1))
        writer = None
        if "producer" in query:
            epoch = int(query.get("epoch", 0))
            writer = topic.writers.setdefault(query["producer"], [0, None, {}])
            if epoch < writer[0]:
                return json_answer(409, {"reason": "fenced"})
            if epoch > writer[0]:
                writer[0], writer[1], writer[2] = epoch, None, {}
            if sequence in writer[2]:
                return json_answer(200, writer[2][sequence])
            if writer[1] is not None and sequence != writer[1]:
                return json_answer(409, {"reason": "seq", "callSequence": writer[1]})
        for key, value in records:
            self.put_into(topic, key, value)
        answer = {"offset": end, "end": len(topic.log)}
        if writer is not None:
            writer[1] = sequence + 1
            writer[2][sequence] = answer
            for old in sorted(writer[2])[:-5]:
                del writer[2][old]
        return json_answer(200, answer)

    def put_into(self, topic, key, value):
        offset = len(topic.log)
        topic.log.append((key, value))
        if value:
            topic.newest[key] = (value, offset)
        else:
            topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def read(self, topic, query):
        start = int(query.get("from", 0))
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(topic.log) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.mode == "silent":
            raise NoAnswer()
        out = struct.pack(">QQ", len(topic.log), 0)
        limit = int(query.get("max_kb", 1024)) * 1024
        for key, value in topic.log[start:]:
            name = key.encode("latin-1")
            out += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
            if len(out) > limit:
                break
        return 200, "application/octet-stream", out

    def newest(self, topic, query):
        after = unquote(query.get("dependsOn", ""))
        items = []
        more = False
        for key in sorted(k for k in topic.newest if k > after):
            if len(items) >= 500:
                more = True
                break
            value, offset = topic.newest[key]
            items.append({"privateKey": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return json_answer(200, {"items": items, "more": more, "end": len(topic.log)})


class Run:
    def __init__(self, task, run, spec, checkpoint, began):
        self.task, self.run, self.spec, self.began = task, run, spec, began
        self.checkpoint = checkpoint
        self.done_at = None  # On the runner's clock, in ms.
        self.how = "done"
        self.stop_at = None
        self.lasts = False


class Runner:
    """One life of a runner."""

    MAX_HOLD_MS = 6000
    STOP_MS = 100

    def __init__(self, site, name, capacity, labels, zone="z1", service="desk"):
        self.site, self.name, self.capacity = site, name, capacity
        self.labels, self.zone, self.service = labels, zone, service
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.last_seen = 0
        self.begin = time.monotonic()
        self.state = "ready"
        self.machine = name  # Stays while lives of runners come and go.
        self.remaining = 0  # While it drains: the least time left, in ms.
        self.alive = True
        self.cut = False
        self.lapsed = True
        self.lapses = []  # When its lease passed.
        self.changed = asyncio.Event()
        self.late_start = lambda body: 0  # Seconds; not answered, done then.
        self.lost = lambda target: False  # Done and not answered.
        self.server = Server(self.handle)

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000) + 1000

    def write_entry(self):
        if not self.alive or self.cut:
            return
        leaving = {"remainingMs": self.remaining} if self.state == "draining" else {}
        self.site.store.put("keyed.servers", self.name, json.dumps(dict(leaving, **{
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "1", "slots": 8, "state": self.state, "machine": "m-" + self.machine,
            "coldRemainingMs": 0, "callSequence": self.next_sequence(),
            "capacity": self.capacity, "labels": self.labels})).encode())

    def next_sequence(self):
        self.sequence = getattr(self, "sequence", 0) + 1
        return self.sequence

    async def start(self, port=0):
        self.address = await self.server.start(port)
        self.write_entry()

    def crash(self):
        """The life ends; what ran there is gone."""
        self.alive = False
        for key in list(self.runs):
            run = self.runs.pop(key)
            self.site.ended(self, run, "lost")
        self.server.mode = "reset"
        self.server.server.close()
        self.server.reset_all()

    async def next_life(self):
        """The next life on this machine, at the same address under a new id."""
        name = "%s%08x" % (self.name[:24], (int(self.name[24:], 16) + 0x10000) & 0xffffffff)
        life = Runner(self.site, name, self.capacity, self.labels, self.zone, self.service)
        life.machine = self.machine
        await life.start(int(self.address.split(":")[1]))
        self.site.runners[self.site.runners.index(self)] = life
        return life

    def set_cut(self, cut):
        """Behind a cut a runner works on; nothing passes either way."""
        self.cut = cut
        if cut:
            self.server.mode = "mute"
        else:
            self.server.reset_all()
            self.server.mode = "ok"

    def end(self, run, how):
        self.runs.pop((run.task, run.run), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, run.checkpoint])
        self.next_end += 1
        self.site.ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        if not self.alive:
            return
        clock = self.clock()
        if clock > self.lease_until and not self.lapsed:
            self.lapses.append(time.monotonic())
        self.lapsed = clock > self.lease_until
        for run in list(self.runs.values()):
            if clock > self.lease_until:
                self.end(run, "lapsed")
            elif run.stop_at is not None and clock >= run.stop_at:
                self.end(run, "stopped")
            elif run.done_at is not None and clock >= run.done_at:
                self.end(run, run.how)

    def extend(self, deadline):
        self.lease_until = max(self.lease_until,
                               min(deadline, self.clock() + self.MAX_HOLD_MS))

    def take_start(self, order, late=False):
        self.advance()
        task, number = order["task"], order["run"]
        deadline = order.get("deadlineMs", 0)
        if order.get("fencingToken", 0) < self.fence:
            return 409, "fence"
        self.fence = order.get("fencingToken", 0)
        if (task, number) in self.runs:
            self.extend(deadline)
            return 200, ""
        if number <= self.highest.get(task, 0):
            self.extend(deadline)
            return 409, "old"
        if deadline <= self.clock():
            return 409, "late"
        self.extend(deadline)
        run = Run(task, number, order.get("taskSpec"), order.get("lastCheckpoint", ""),
                  self.clock())
        work = self.site.work(self, order)
        if work.get("ms") is not None:
            run.done_at = self.clock() + work["ms"]
        run.how = work.get("how", "done")
        self.runs[(task, number)] = run
        self.site.began(self, run, order, late)
        return 200, ""

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.001)
        if not self.alive:
            raise NoAnswer()
        expected = headers.get("x-keelbridge-expected-instance")
        if expected and expected != self.name:
            return json_answer(421, {"clockMs": self.clock()})
        order = json.loads(body or b"{}")
        if target == "/run-start":
            delay = self.late_start(order)
            if delay:
                self.site.record.write("%s leaves the start of %s run %d unanswered, "
                                       "to be carried out in %.1f s" % (
                                           self.name, order["task"], order["run"], delay))
                asyncio.get_event_loop().call_later(delay, self.late_order, order)
                raise NoAnswer()
            status, reason = self.take_start(order)
            if self.lost(target):
                raise NoAnswer()
            return json_answer(status, dict({"clockMs": self.clock()},
                                            **({"reason": reason} if reason else {})))
        if order.get("fencingToken", 0) < self.fence:
            return json_answer(409, {"clockMs": self.clock(), "reason": "fence"})
        self.fence = order.get("fencingToken", 0)
        self.advance()
        if target == "/run-stop":
            task, number = order["task"], order["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.runs.get((task, number))
            if run is not None and run.stop_at is None:
                run.stop_at = self.clock() + self.STOP_MS
            if self.lost(target):
                raise NoAnswer()
            return json_answer(200, {"clockMs": self.clock()})
        if target == "/hold":
            if order.get("deadlineMs"):
                self.extend(order["deadlineMs"])
            self.last_seen = max(self.last_seen, order.get("lastSeen", 0))
            self.ended = [end for end in self.ended if end[0] > order.get("lastSeen", 0)]
            until = time.monotonic() + order.get("waitMs", 0) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            if not self.alive or self.lost(target):
                raise NoAnswer()
            return json_answer(200, {
                "clockMs": self.clock(),
                "running": [[r.task, r.run, r.checkpoint, 50, 0] for r in self.runs.values()],
                "ended": self.ended[:500]})
        return json_answer(404, {})

    def late_order(self, order):
        if self.alive:
            status, reason = self.take_start(order, late=True)
            self.site.record.write("%s carries out the late start of %s run %d: %d %s" % (
                self.name, order["task"], order["run"], status, reason))


class Node:
    def __init__(self, site, number):
        self.site, self.number = site, number
        self.name = "node-%d" % number
        self.ports = [free_port() for _ in range(4)]
        self.process = None

    @property
    def client(self):
        return "127.0.0.1", self.ports[0]

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".json")
        settings = {
            "name": self.name, "zone": "z%d" % self.number,
            "client_listen": "127.0.0.1:%d" % self.ports[0],
            "ready_listen": "127.0.0.1:%d" % self.ports[1],
            "peer_listen": "127.0.0.1:%d" % self.ports[2],
            "metrics_listen": "127.0.0.1:%d" % self.ports[3],
            "seeds": ["127.0.0.1:1"],
            "store": self.site.store_address, "advice": self.site.store_address,
            "store_append_bytes": 2097152, "store_record_bytes": 262144,
            "processor_share": 0.25, "processor_speed": 1, "link_mbps": 1000,
            "lease_ms": 6000, "gang_wait_ms": 3000, "stop_timeout_ms": 200,
            "ended_kept_s": 120, "stop_grace_s": 6,
            "switched_on": ["learn_durations"]}
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            NODE, cwd=ROOT, stdout=log, stderr=log,
            env=dict(os.environ, KEELBRIDGE_CONFIG=path))
        self.site.record.write("%s starts" % self.name)

    def signal(self, number):
        self.site.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ended(self):
        return await self.process.wait()


def free_port(taken=set()):  # The default lives on: no port is given twice.
    """A free port below those that outgoing connections get."""
    while True:
        port = random.randint(20000, 30000)
        if port in taken:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Site:
    def __init__(self, record):
        self.record = record
        self.store = Store(record)
        self.runners = []
        self.nodes = []
        self.folder = tempfile.mkdtemp(prefix="keelbridge-review.")
        self.work = lambda runner, order: {"ms": 500}
        self.runs = []  # dicts: task, run, runner, began, ended, how, late
        self.tasks = []

    async def start(self, nodes=3, runners=6, queues=None):
        self.store_address = await self.store.server.start()
        self.publish(1, queues)
        for i in range(runners):
            runner = Runner(self, "%032x" % (0xabc000 + i),
                            {"cpu": 16000, "memoryRequestMb": 65536, "gpu": 0},
                            ["a", "r%d" % (i // 2)], "z%d" % (1 + i % 3))
            await runner.start()
            self.runners.append(runner)
        self.tasks.append(asyncio.ensure_future(self.tick()))
        self.nodes = [Node(self, i + 1) for i in range(nodes)]
        for node in self.nodes:
            await node.start()
        await self.until(lambda: self.all_ready(), 20, "the nodes are ready")

    async def all_ready(self):
        for node in self.nodes:
            status, _ = await http("127.0.0.1", node.ports[1], "GET", "/ready", {}, 1)
            if status != 200:
                return False
        return True

    def publish(self, version, queues=None):
        queue = {"name": "r-1", "host": "desk.example", "pathPrefix": "/jobs/",
                 "service": "desk", "priority": 0, "maxAttempts": 3, "stretch": 2.0,
                 "targetLatencyMs": 500, "timeoutMs": 3000}
        config = {"version": version, "routes": queues or [queue],
                  "services": [{"name": "desk", "admissionCheck": False}]}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def tick(self):
        beat = 0
        while True:
            await asyncio.sleep(0.01)
            beat += 1
            for runner in self.runners:
                runner.advance()
                if beat % 100 == 0:
                    runner.write_entry()

    def began(self, runner, run, order, late):
        self.record.write("%s begins %s run %d%s%s" % (
            runner.name, run.task, run.run, " late" if late else "",
            " from " + run.checkpoint if run.checkpoint else ""))
        self.runs.append({"task": run.task, "run": run.run, "runner": runner,
                          "began": time.monotonic(), "ended": None, "how": None,
                          "spec": run.spec, "late": late})

    def ended(self, runner, run, how):
        self.record.write("%s ends %s run %d: %s" % (runner.name, run.task, run.run, how))
        for row in self.runs:
            if (row["task"], row["run"], row["runner"]) == (run.task, run.run, runner):
                row["ended"], row["how"] = time.monotonic(), how
                row["end"] = runner.next_end - 1  # Its number in the list of ends.

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun("gave up waiting: " + what)

    async def leader(self):
        for node in self.nodes:
            if node.process is None or node.process.returncode is not None:
                continue
            _, text = await http("127.0.0.1", node.ports[3], "GET", "/metrics", {}, 1)
            if b"keelbridge_node_leads 1" in text:
                return node
        return None

    async def call(self, node, method, job, body=None, wait=3.0, quiet=False,
                   prefix="/jobs/"):
        headers = {"Host": "desk.example", "X-Keelbridge-Remaining-Ms": str(int(wait * 1000))}
        text = json.dumps(body).encode() if body is not None else b""
        status, out = await http(*node.client, method, prefix + job, headers, wait, text)
        if not quiet:
            self.record.write("%s %s at %s: %s %s" % (
                method, job, node.name, status or "no answer", out.decode("latin-1")[:200]))
        return status, out

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    pass


async def http(host, port, method, path, headers, wait, body=b""):
    """Returns status and body; status 0 without an answer."""
    async def talk():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path)]
            sent = dict({"Host": "x", "Content-Type": "application/json",
                         "Connection": "close"}, **headers)
            sent["Content-Length"] = str(len(body))
            lines += ["%s: %s" % pair for pair in sent.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = 0
            for line in head.decode("latin-1").split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            return status, await reader.readexactly(length)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), wait)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return 0, b""


def run_case(case, record_path):
    """Runs the coroutine case(site, trouble) and exits: 1 broken, 0 held, 2 not run.
    What was sent, answered and run is written to record_path.
    The case returns a list of what broke."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    if not os.path.exists(NODE):
        print("build the deploy file's program first")
        sys.exit(2)
    code = 2

    async def main():
        nonlocal code
        # A stopped script ends its nodes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        site = Site(record)
        try:
            broken = await asyncio.wait_for(case(site, trouble), 110)
            for line in broken:
                record.write("BROKEN: " + line)
                print(line)
            code = 1 if broken else 0
            record.write("the rule was broken" if broken else "the rule held")
        except Exception as e:  # Whatever fails here says nothing of the rule.
            record.write("could not run: %r" % e)
            print("could not run: %r" % e)
            code = 2
        finally:
            await site.stop()
    try:
        asyncio.new_event_loop().run_until_complete(main())
    except asyncio.CancelledError:
        code = 2
    # Connections may still be open; nothing is left to be done for them.
    sys.stdout.flush()
    os._exit(code)
