"""Stand-ins of the users' platform for the scripts of this review: the store (a log), runners, an
advice service and clients, on loopback addresses and the real clock, as PROTOCOL.md describes them.

All of them run in one event loop. Everything that is sent, answered and run is written to
`record.txt`, and kept in `Site.events` for the check of a script.
"""
import asyncio, base64, json, os, random, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target/release/keelbridge-node")
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Record:
    """Writes what happens to a file, with the time in seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.events = []

    def __call__(self, kind, **fields):
        self.events.append((now(), kind, fields))
        self.file.write("%9.3f %s %s\n" % (now(), kind, " ".join("%s=%s" % kv for kv in fields.items())))


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. `handle(method, path, query, headers, body)` returns (status, body) or None
    for no answer."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                answer = await self.handle(method, path, args, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, out = answer
                kind = "application/octet-stream" if isinstance(out, bytes) else "application/json"
                if not isinstance(out, bytes):
                    out = json.dumps(out).encode()
                writer.write(("HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                              % (status, kind, len(out))).encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def stop(self, reset=True):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort() if reset else writer.close()


class Partition:
    def __init__(self, keyed):
        self.keyed = keyed
        self.records = []  # raw records after their length
        self.newest = {}   # key -> (value, offset)
        self.producers = {}
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store, a log."""

    def __init__(self, record, answer_ms=4):
        self.record = record
        self.topics = {}
        self.delay = answer_ms / 1000
        self.server = Server(self.handle)
        self.mode = None  # None, "silent" or "busy"
        self.calls = 0
        self.on_append = None  # Called with the topic and the records of an append that was done.

    def part(self, topic):
        if topic not in self.topics:
            self.topics[topic] = Partition(topic.startswith("keyed."))
        return self.topics[topic]

    def put(self, topic, records):
        part = self.part(topic)
        for raw in records:
            if part.keyed:
                key = raw[1:1 + raw[0]].decode()
                value = raw[1 + raw[0]:]
                if value:
                    part.newest[key] = (value, len(part.records))
                else:
                    part.newest.pop(key, None)
            part.records.append(raw)
        part.changed.set()
        part.changed = asyncio.Event()

    def put_key(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b""
        self.put(topic, [bytes([len(key)]) + key.encode() + data])

    async def handle(self, method, path, args, headers, body):
        self.calls += 1
        await asyncio.sleep(self.delay)
        if self.mode == "silent":
            return None
        if self.mode == "busy":
            return 503, {}
        part = self.part(args["topic"]) if "topic" in args else None
        if path == "/log-append":
            return self.append(args, part, body)
        if path == "/log-read":
            return await self.read(args, part)
        if path == "/log-newest":
            after = args.get("dependsOn", "")
            keys = sorted(key for key in part.newest if key > after)
            page = keys[:500]
            items = [{"privateKey": key, "value": base64.b64encode(part.newest[key][0]).decode(),
                      "offset": part.newest[key][1]} for key in page]
            return 200, {"items": items, "more": len(keys) > len(page), "end": len(part.records)}
        return 404, {}

    def append(self, args, part, body):
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            if size > 262144:
                return 400, {}
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if "at" in args and int(args["at"]) != len(part.records):
            return 412, {"end": len(part.records)}
        if "producer" in args:
            epoch, seq = int(args["epoch"]), int(args["callSequence"])
            known = part.producers.get(args["producer"])
            if known and epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if not known or epoch > known["epoch"]:
                known = part.producers[args["producer"]] = {"epoch": epoch, "last": seq - 1, "answers": {}}
            if not records:
                return 200, {"offset": len(part.records), "end": len(part.records)}
            if seq in known["answers"]:
                return 200, known["answers"][seq]
            if known["answers"] and seq != known["last"] + 1:
                return 409, {"reason": "seq", "callSequence": known["last"] + 1}
        offset = len(part.records)
        self.put(args["topic"], records)
        answer = {"offset": offset, "end": len(part.records)}
        if "producer" in args:
            known["last"] = seq
            known["answers"][seq] = answer
            for old in [n for n in known["answers"] if n <= seq - 5]:
                del known["answers"][old]
        if self.on_append:
            self.on_append(args["topic"], records)
        return 200, answer

    async def read(self, args, part):
        start, until = int(args["from"]), now() + int(args.get("waitMs", "0")) / 1000
        while start >= len(part.records) and now() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
        out, size = [], 0
        for raw in part.records[start:]:
            if size + len(raw) > 1 << 20 and out:
                break
            out.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw) + 4
        return 200, struct.pack(">QQ", len(part.records), 0) + b"".join(out)


class Runner:
    """A runner. What a task does stands in its taskSpec: {"<step>": {"ms": N, "fail": [runs]}}."""

    def __init__(self, site, host, machine, cpu=8000, memory=32768, gpu=0, labels=None, service="desk",
                 stop_ms=100, heartbeat=1.5):
        self.site, self.host, self.machine = site, host, machine
        self.capacity = {"cpu": cpu, "memoryRequestMb": memory, "gpu": gpu}
        self.labels = labels or ["a", "r-" + machine]
        self.service, self.stop_ms, self.heartbeat = service, stop_ms, heartbeat
        self.up = False
        self.listed = True     # Writes its entry in the store.
        self.hook = None       # async (path, body) -> True if the call gets no answer
        self.start_hook = None  # (task, run) called after a start
        self.lives = 0
        self.port = 0

    async def start(self):
        self.lives += 1
        self.id = "i-%s-%d-%04x" % (self.machine, self.lives, random.randrange(1 << 16))
        self.fence, self.ends, self.end_number = 0, [], 0
        self.running, self.highest = {}, {}  # task -> run info; task -> highest run stopped or ended
        self.state, self.sequence = "ready", 0
        self.born = now() - random.uniform(1, 100)
        self.lease, self.lapsed, self.lapses = 0, True, []  # `lapses`: when the lease ran out
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        await self.server.start(self.host, self.port)  # A later life has the address of the first one.
        self.port = int(self.server.address.split(":")[1])
        self.up = True
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.clock())]
        self.site.record("runner_up", runner=self.id, machine=self.machine)

    async def crash(self):
        self.site.record("runner_crash", runner=self.id, running=",".join(
            "%s/%d" % (task, info["run"]) for task, info in self.running.items()) or "-")
        self.up = False
        for task in self.tasks:
            task.cancel()
        for task, info in list(self.running.items()):
            self.site.run_over(self, task, info, "crash")
        self.running = {}
        await self.server.stop()
        old, store = self.id, self.site.store
        async def expire():
            await asyncio.sleep(3 * self.heartbeat)
            store.put_key("keyed.servers", old, None)
        asyncio.ensure_future(expire())

    def clock_ms(self):
        return int((now() - self.born) * 1000)

    def entry(self):
        entry = {"service": self.service, "address": self.server.address, "zone": "zone-1", "version": "1",
                 "slots": 8, "state": self.state, "coldRemainingMs": 0, "callSequence": self.sequence,
                 "capacity": self.capacity, "labels": self.labels, "machine": self.machine}
        if self.state == "draining":
            entry["remainingMs"] = max(0, int((self.leaves_at - now()) * 1000))
        return entry

    def write_entry(self):
        self.site.store.put_key("keyed.servers", self.id, self.entry())

    async def drain(self, serves_s):
        """Says that it drains, serves on for `serves_s`, and ends."""
        self.state, self.leaves_at = "draining", now() + serves_s
        self.site.record("runner_drains", runner=self.id, serves_s=serves_s)
        self.write_entry()
        await asyncio.sleep(serves_s)
        self.site.record("runner_left", runner=self.id)
        self.up = False
        for task in self.tasks:
            task.cancel()
        for task, info in list(self.running.items()):
            self.site.run_over(self, task, info, "left")
        self.running = {}
        await self.server.stop()
        self.site.store.put_key("keyed.servers", self.id, None)

    async def beat(self):
        while True:
            self.sequence += 1
            if self.listed and self.site.store.mode is None:
                old = self.site.store.part("keyed.servers").newest.get(self.id)
                fresh = self.entry()
                if old is None or {k: v for k, v in json.loads(old[0]).items() if k != "callSequence"} != \
                        {k: v for k, v in fresh.items() if k != "callSequence"}:
                    self.site.store.put_key("keyed.servers", self.id, fresh)
            await asyncio.sleep(self.heartbeat)

    def finish(self, task, how, saved=""):
        info = self.running.pop(task, None)
        if info is None:
            return
        self.end_number += 1
        self.highest[task] = max(self.highest.get(task, 0), info["run"])
        self.ends.append([self.end_number, task, info["run"], how, saved])
        self.site.run_over(self, task, info, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def clock(self):
        while True:
            await asyncio.sleep(0.01)
            at = now()
            if self.clock_ms() > self.lease and not self.lapsed:
                self.lapsed = True
                self.lapses.append(at)
            elif self.clock_ms() <= self.lease:
                self.lapsed = False
            if self.running and self.clock_ms() > self.lease:
                for task in list(self.running):
                    self.finish(task, "lapsed")
            for task, info in list(self.running.items()):
                if info["stop_at"] is not None and at >= info["stop_at"]:
                    self.finish(task, "stopped")
                elif info["gang"]:
                    continue
                elif at >= info["over_at"]:
                    self.finish(task, info["how"])

    async def handle(self, method, path, args, headers, body):
        if method == "GET":
            return 200, {}
        call = json.loads(body)
        expected = headers.get("x-keelbridge-expected-instance")
        if expected and expected != self.id:
            return 421, {}
        if self.hook and await self.hook(path, call):
            return None
        return await self.carry_out(path, call)

    async def carry_out(self, path, call):
        clock = self.clock_ms()
        refuse = lambda reason: (409, {"clockMs": self.clock_ms(), "reason": reason})
        token = call.get("fencingToken", 0)
        if token < self.fence:
            return refuse("fence")
        self.fence = token
        if "deadlineMs" in call:
            self.lease = max(self.lease, min(call["deadlineMs"], clock + 6000))
        if path == "/run-start":
            task, run = call["task"], call["run"]
            known = self.running.get(task)
            if known and known["run"] == run:
                return 200, {"clockMs": clock}
            if known or run <= self.highest.get(task, 0):
                return refuse("old")
            if call["deadlineMs"] <= clock:
                return refuse("late")
            work = json.loads(call["taskSpec"]).get(task.split(".")[2], {})
            fails = run in work.get("fail", [])
            info = {"run": run, "at": now(), "stop_at": None, "gang": False, "token": token,
                    "how": "failed" if fails else "done",
                    "over_at": now() + work.get("ms", 500) / 1000 if "ms" in work else float("inf")}
            self.running[task] = info
            self.site.run_begins(self, task, info, call)
            if self.start_hook:
                self.start_hook(task, run)
            return 200, {"clockMs": clock}
        if path == "/run-stop":
            task, run = call["task"], call["run"]
            info = self.running.get(task)
            if info and info["run"] <= run and info["stop_at"] is None:
                info["stop_at"] = now() + self.stop_ms / 1000
            if not info:
                self.highest[task] = max(self.highest.get(task, 0), run)
            self.site.record("stop", runner=self.id, task=task, run=run, token=token)
            return 200, {"clockMs": clock}
        if path == "/hold":
            seen = call.get("lastSeen", 0)
            self.ends = [end for end in self.ends if end[0] > seen]
            until = now() + min(call.get("waitMs", 0), 2000) / 1000
            while not self.ends and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            rows = [[task, info["run"], "", 100] for task, info in self.running.items()]
            return 200, {"clockMs": self.clock_ms(), "running": rows, "ended": self.ends[:500]}
        return 404, {}


class Site:
    """The platform, the nodes and the clients of one script."""

    def __init__(self, record):
        self.record = Record(record)
        self.temporary = tempfile.mkdtemp(prefix="keelbridge-review.")
        self.store = Store(self.record)
        self.runners, self.nodes = [], {}
        self.runs = []  # [task, run, runner id, begin, end or None, how]
        self.version = 0
        self.routes = [{"name": "q0", "host": "desk.example", "pathPrefix": "/jobs/", "service": "desk",
                        "priority": 0, "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 1000}]
        self.services = [{"name": "desk", "admissionCheck": False}]

    # Runners report here.
    def run_begins(self, runner, task, info, call):
        row = {"task": task, "run": info["run"], "runner": runner.id, "begin": now(), "end": None, "how": None,
               "spec": call["taskSpec"], "token": call.get("fencingToken", 0), "lapses": runner.lapses}
        info["row"] = row
        self.runs.append(row)
        self.record("start", runner=runner.id, task=task, run=info["run"], token=row["token"])

    def run_over(self, runner, task, info, how):
        info["row"]["end"], info["row"]["how"] = now(), how
        self.record("end", runner=runner.id, task=task, run=info["run"], how=how)

    def configure(self):
        self.version += 7
        document = {"version": self.version, "routes": self.routes, "services": self.services,
                    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}}
        self.store.put_key("keyed.op", "config", document)
        self.record("configuration", version=self.version)

    async def start_platform(self, runners):
        await self.store.server.start("127.0.0.1")
        self.configure()
        for runner in runners:
            self.runners.append(runner)
            await runner.start()

    def choose_ports(self, hosts):
        for _ in range(50):
            base = random.randrange(20000, 50000, 8)
            try:
                held = []
                for host in hosts:
                    for port in range(base, base + 4):
                        one = socket.socket()
                        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        one.bind((host, port))
                        held.append(one)
                return base
            except OSError:
                continue
            finally:
                for one in held:
                    one.close()
        raise SystemExit(2)

    def start_node(self, number):
        """Starts node `number` (from 1) at 127.0.0.(10 + number) with the filled template."""
        host = "127.0.0.%d" % (10 + number)
        if not hasattr(self, "ports"):
            self.ports = self.choose_ports(["127.0.0.%d" % (10 + n) for n in range(1, 4)])
        front, ready, peer, metrics = range(self.ports, self.ports + 4)
        settings = {"name": "front-zone-1-%d" % number, "zone": "zone-1", "client_listen": "%s:%d" % (host, front),
                    "ready_listen": "%s:%d" % (host, ready), "peer_listen": "%s:%d" % (host, peer),
                    "metrics_listen": "%s:%d" % (host, metrics),
                    "seeds": ["127.0.0.%d:%d" % (10 + n, peer) for n in range(1, 4)],
                    "store": self.store.server.address, "store_append_bytes": 2097152,
                    "store_record_bytes": 262144, "processor_share": 0.25, "processor_speed": 1,
                    "link_mbps": 1000.0, "lease_ms": 6000, "gang_wait_ms": 3000, "stop_timeout_ms": 200,
                    "ended_kept_s": 120, "stop_grace_s": 6, "switched_on": ["learn_durations"]}
        settings.update(getattr(self, "extra_settings", {}))
        path = os.path.join(self.temporary, "node-%d.json" % number)
        json.dump(settings, open(path, "w"))
        log = open(os.path.join(self.temporary, "node-%d.log" % number), "a")
        process = subprocess.Popen([NODE], cwd=ROOT, stdout=log, stderr=log,
                                   env={"PATH": os.environ["PATH"], "KEELBRIDGE_CONFIG": path})
        self.nodes[number] = process
        self.record("node_start", node=number, pid=process.pid)

    def signal_node(self, number, sign):
        self.record("node_signal", node=number, signal=signal.Signals(sign).name)
        self.nodes[number].send_signal(sign)

    async def call(self, node, method, path, body=None, wait=3.0, host="desk.example", quiet=False):
        """A client's call. Returns the status (0: no answer) and the body."""
        at = now()
        if not quiet:
            self.record("sent", node=node, call=method + " " + path)
        status, out = 0, {}
        try:
            status, out = await asyncio.wait_for(self.call_once(node, method, path, body, host, wait), wait)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        if not quiet or status not in (200,):
            self.record("answer", node=node, call=method + " " + path, status=status, body=json.dumps(out),
                        ms=int((now() - at) * 1000))
        return status, out

    async def call_once(self, node, method, path, body, host, wait):
        port = self.ports + (1 if path == "/ready" else 3 if path == "/metrics" else 0)
        reader, writer = await asyncio.open_connection("127.0.0.%d" % (10 + node), port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                          "X-Keelbridge-Remaining-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, host, wait * 1000, len(data))).encode() + data)
            line, headers, answer = await read_message(reader)
            try:
                return int(line.split()[1]), json.loads(answer)
            except ValueError:
                return int(line.split()[1]), {"text": answer.decode("latin1")}
        finally:
            writer.close()

    async def submit(self, job, body, nodes=(1, 2, 3), tries=20):
        """Hands a job in until it is taken or refused for good. Returns whether it was taken."""
        for attempt in range(tries):
            status, _ = await self.call(nodes[attempt % len(nodes)], "POST", "/jobs/" + job, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def leader(self):
        for number, process in self.nodes.items():
            if process.poll() is None:
                status, body = await self.call(number, "GET", "/metrics", quiet=True, wait=1.0)
                if status == 200 and "\nkeelbridge_node_leads 1" in body.get("text", ""):
                    return number
        return None

    async def wait_ready(self, seconds=15):
        until = now() + seconds
        while now() < until:
            found = [await self.call(n, "GET", "/ready", quiet=True, wait=1.0) for n in self.nodes]
            if all(status == 200 for status, _ in found):
                return
            await asyncio.sleep(0.2)
        print("the nodes did not become ready")
        raise SystemExit(2)

    def close(self):
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(case, trouble, record):
    """Runs `case(site, trouble)`, which returns the broken rules as a list of texts, and exits with 1 if there
    are any, 0 if there are none, 2 if it could not run. Writes what happens to the file `record`."""
    if not os.path.exists(NODE):
        print("target/release/keelbridge-node is not built")
        raise SystemExit(2)
    site = Site(record)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(case(site, trouble), 112))
    except BaseException as error:  # Also SystemExit of a step that cannot be done.
        print("the case could not run:", repr(error))
        broken = None
    finally:
        site.close()
    if broken is None:
        sys.stdout.flush()
        os._exit(2)
    for text in broken:
        site.record("BROKEN", rule=text)
        print("broken:", text)
    if not broken:
        site.record("HELD")
        print("held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
