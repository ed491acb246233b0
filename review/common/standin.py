"""A small site for the review's scripts: the platform's store, runners and a client as stand-ins, written from the
platform's pages, and the real keelbridge-node processes around them. Loopback addresses and the real clock only.

A runner that crashes closes its listener and its connections without a word and forgets all; it comes back at the same
address as another life: a new id, no runs, no fencing token seen."""

import asyncio
import base64
import hashlib
import heapq
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target/release/keelbridge-node")

# The bounds of padiya-lk.
BOUNDS = {"maxHoldMs": 10000, "gangTimeoutMs": 3000, "stopTimeoutMs": 400, "status_s": 120, "graceS": 6}
HEARTBEAT_S = 1.5
RECORD_BYTES = 262144   # `record_bytes` and `call_bytes` of the platform's store.
CALL_BYTES = 2097152
RACK = 8


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP server whose handler is `await handle(method, target, headers, body)` -> (status, bytes), or None for no
    answer at all."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handle(method, target, message[1], message[2])
                if answer is None:
                    continue
                status, body = answer
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


def as_json(status, value):
    return status, json.dumps(value).encode()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One request on a new connection. Returns (status, body text), or (0, reason) without an answer."""
    ip, port = address
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, port)
            data = json.dumps(body).encode() if body is not None else b""
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n" % (
                method, path, (headers or {}).get("Host", ip), len(data))
            for name, value in (headers or {}).items():
                if name != "Host":
                    head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "connection closed"
            return int(message[0].split(" ")[1]), message[2].decode()

        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store -------------------------------------------------------------------------------------------

class Topic:
    def __init__(self):
        self.log = []       # (key, value or None)
        self.newest = {}    # key -> (value, offset)
        self.writers = {}   # producer -> [epoch, next sequence or None, {sequence: answer}]


class Store:
    def __init__(self, ip):
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = Server(ip, 0, self.handle)
        self.refused = lambda size, what: None
        self.silent = False

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        t = self.topic(topic)
        offset = len(t.log)
        t.log.append((key, value))
        if value:
            t.newest[key] = (value, offset)
        else:
            t.newest.pop(key, None)
        async with self.changed:
            self.changed.notify_all()

    async def fall_silent(self, site, seconds):
        """Answers nothing for a while, in which the runners' entries lapse. Each runner writes its own again at its
        next heartbeat, that is within 1.5 s of the return."""
        self.silent = True
        await asyncio.sleep(seconds)
        for runner in site.runners:
            await self.put("keyed.servers", runner.id, None)
        self.silent = False

    async def handle(self, method, target, headers, body):
        if self.silent:
            return None
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        t = self.topic(query.get("topic", ""))
        await asyncio.sleep(0.004)
        if url.path == "/log-append":
            return await self.append(t, query, body)
        if url.path == "/log-read":
            return await self.read(t, query)
        if url.path == "/log-newest":
            return self.newest(t, query)
        return as_json(404, {})

    async def append(self, t, query, body):
        records = []
        at = 0
        if len(body) > CALL_BYTES:
            self.refused(len(body), "call")
            return as_json(400, {"reason": "size"})
        while at < len(body):
            (length,) = struct.unpack(">I", body[at:at + 4])
            if length > RECORD_BYTES:
                key = body[at + 5:at + 5 + body[at + 4]].decode()
                self.refused(length, "record of key " + key)
                return as_json(400, {"reason": "size"})
            record = body[at + 4:at + 4 + length]
            at += 4 + length
            key = record[1:1 + record[0]].decode()
            records.append((key, record[1 + record[0]:] or None))
        if "at" in query and int(query["at"]) != len(t.log):
            return as_json(412, {"end": len(t.log)})
        writer = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["callSequence"])
            writer = t.writers.setdefault(query["producer"], [epoch, None, {}])
            if epoch < writer[0]:
                return as_json(409, {"reason": "fenced"})
            if epoch > writer[0]:
                writer[:] = [epoch, None, {}]
            if records and sequence in writer[2]:
                return as_json(200, writer[2][sequence])
            if records and writer[1] is not None and sequence != writer[1]:
                return as_json(409, {"reason": "seq", "callSequence": writer[1]})
        answer = {"offset": len(t.log)}
        for key, value in records:
            offset = len(t.log)
            t.log.append((key, value))
            if value:
                t.newest[key] = (value, offset)
            else:
                t.newest.pop(key, None)
        answer["end"] = len(t.log)
        if writer is not None and records:
            writer[1] = sequence + 1
            writer[2][sequence] = answer
            while len(writer[2]) > 5:
                writer[2].pop(min(writer[2]))
        async with self.changed:
            self.changed.notify_all()
        return as_json(200, answer)

    async def read(self, t, query):
        start = int(query.get("from", "0"))
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(t.log) <= start and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.01, until - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
        out = struct.pack(">qq", len(t.log), 0)
        for key, value in t.log[start:]:
            data = bytes([len(key)]) + key.encode() + (value or b"")
            out += struct.pack(">I", len(data)) + data
        return 200, out

    def newest(self, t, query):
        keys = sorted(k for k in t.newest if k > query.get("dependsOn", ""))
        items = [{"privateKey": k, "value": base64.b64encode(t.newest[k][0]).decode(), "offset": t.newest[k][1]}
                 for k in keys[:500]]
        return as_json(200, {"items": items, "more": len(keys) > 500, "end": len(t.log)})


# --- Runners --------------------------------------------------------------------------------------------------------

class Run:
    def __init__(self, task, run, plan, saved):
        self.task, self.run, self.plan = task, run, plan
        self.began = time.monotonic()
        self.at_work = None if plan.get("gang") else self.began
        self.stop_at = None
        self.saved = saved
        self.saved_ms = int(saved[:8], 16) if saved else 0
        self.check = hashlib.md5(task.encode()).hexdigest()[:24]
        self.fails = random.random() < plan.get("fails", 0)


class Runner:
    """One machine of a service. `life` numbers its lives."""

    def __init__(self, site, index, ip, cpu, memory):
        self.site, self.index, self.ip = site, index, ip
        self.cpu, self.memory = cpu, memory
        self.kind = "ab"[index % 2]
        self.server = Server(ip, 0, self.handle)
        self.life = 0
        self.up = False
        self.gone = False

    async def begin_life(self):
        self.life += 1
        self.id = "i-%02d-%d-%04x" % (self.index, self.life, random.getrandbits(16))
        self.born = time.monotonic()
        self.fence = 0
        self.until = 0          # of the lease, on its clock
        self.next_end = 1
        self.running = {}       # (task, run) -> Run
        self.due = []           # a heap of (time, key): when to look at a run again
        self.ended = []         # [number, task, run, how, saved]
        self.highest = {}       # task -> the highest run that was stopped or ended here
        self.event = asyncio.Event()
        await self.server.start()
        self.up = True
        self.state, self.leaves = "ready", None
        self.site.record.add("runner %s is up at %s:%d, %s" % (self.id, self.ip, self.server.port, self.kind))
        await self.write_entry()

    async def write_entry(self):
        if self.up and not self.site.store.silent:
            entry = {"service": "desk", "address": "%s:%d" % (self.ip, self.server.port),
                     "zone": self.site.zones[self.index % len(self.site.zones)], "version": "v1", "slots": 8,
                     "state": self.state, "callSequence": int(time.monotonic() * 1000), "machine": "m-%02d" % self.index,
                     "capacity": {"cpu": self.cpu, "memoryRequestMb": self.memory},
                     "labels": [self.kind, "r-%d" % (self.index // RACK)]}
            if self.leaves is not None:
                entry["remainingMs"] = max(0, int((self.leaves - time.monotonic()) * 1000))
            await self.site.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def drain(self, stays_s):
        """Says that it leaves, serves on for `stays_s`, and is gone for good."""
        self.state, self.leaves = "draining", time.monotonic() + stays_s
        self.site.record.add("runner %s is draining, it stays %.1f s" % (self.id, stays_s))
        await self.write_entry()
        await asyncio.sleep(stays_s)
        if not self.up:
            return
        self.up, self.gone = False, True
        self.site.record.add("runner %s leaves with %d runs" % (self.id, len(self.running)))
        for key in list(self.running):
            self.site.on_end(self, self.running.pop(key), "died as its runner left")
        await self.server.stop()
        await self.site.store.put("keyed.servers", self.id, None)

    async def crash(self, down_s):
        """The runner dies without a word. With `down_s` it is back at the same address as another life after that
        time; without, it is lost for good. Its entry goes after three heartbeats of silence."""
        old, self.up = self.id, False
        lost = sorted("%s run %d" % key for key in self.running)
        self.site.record.add("CRASH of runner %s; with it died: %s" % (old, ", ".join(lost) or "nothing"))
        for key in list(self.running):
            self.site.on_end(self, self.running.pop(key), "died with its runner")
        await self.server.stop()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, lambda: asyncio.ensure_future(self.site.store.put("keyed.servers", old, None)))
        if down_s is None:
            self.gone = True
            return
        await asyncio.sleep(down_s)
        await self.begin_life()

    def clock(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    def end(self, key, how):
        if key not in self.running:  # Another member of its gang has ended it.
            return
        run = self.running.pop(key)
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.next_end, key[0], key[1], how, self.saved(run) if how != "done" else ""])
        self.next_end += 1
        self.site.on_end(self, run, how)
        self.event.set()
        self.event = asyncio.Event()

    @staticmethod
    def work_done(run):
        """Milliseconds, with what was saved by earlier runs."""
        if run.at_work is None:
            return run.saved_ms
        return run.saved_ms + int((time.monotonic() - run.at_work) * 1000)

    def saved(self, run):
        """32 hex digits: the work that is done, and a digest that tells of which task it is."""
        if not run.plan.get("saves"):
            return ""
        return "%08x%s" % (self.work_done(run), run.check)

    def advance(self):
        """Ends what is due."""
        if not self.up:
            return
        if self.running and self.clock() > self.until:
            for key in list(self.running):
                self.end(key, "lapsed")
        now = time.monotonic()
        while self.due and self.due[0][0] <= now:
            key = heapq.heappop(self.due)[1]
            run = self.running.get(key)
            if run is None:
                continue
            if run.stop_at is not None and now >= run.stop_at:
                self.end(key, "stopped")
            elif run.at_work is None:
                if now - run.began >= BOUNDS["gangTimeoutMs"] / 1000:
                    self.end(key, "alone")
            elif not run.plan.get("lasts") and self.work_done(run) >= run.plan["work_ms"]:
                self.end(key, "failed" if run.fails else "done")
            elif not run.plan.get("lasts"):
                self.look(run)

    def look(self, run):
        """Looks at the run again when it may end by itself."""
        if run.at_work is None:
            at = run.began + BOUNDS["gangTimeoutMs"] / 1000
        else:
            at = run.at_work + (run.plan["work_ms"] - run.saved_ms) / 1000
        heapq.heappush(self.due, (at + 0.001, (run.task, run.run)))

    async def handle(self, method, target, headers, body):
        expected = headers.get("x-keelbridge-expected-instance")
        if expected and expected != self.id:
            return as_json(421, {})
        data = json.loads(body or b"{}")
        self.advance()
        answer = {"clockMs": self.clock()}
        token = data.get("fencingToken", 0)
        if token < self.fence:
            return as_json(409, dict(answer, reason="fence"))
        self.fence = token
        key = (data.get("task"), data.get("run"))
        if target == "/run-stop":
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.running and self.running[key].stop_at is None:
                self.running[key].stop_at = time.monotonic() + 0.05
                heapq.heappush(self.due, (self.running[key].stop_at, key))
            return as_json(200, answer)
        if target == "/run-start":
            if key in self.running:
                return as_json(200, answer)
            old = key[1] <= self.highest.get(key[0], 0)
            if not old and data["deadlineMs"] <= self.clock():
                return as_json(409, dict(answer, reason="late"))
            self.hold_until(data["deadlineMs"])
            if old:
                return as_json(409, dict(answer, reason="old"))
            step = int(key[0].split(".")[2])
            run = Run(key[0], key[1], self.site.plan_of(data["taskSpec"])[step], data.get("lastCheckpoint", ""))
            self.running[key] = run
            self.look(run)
            self.site.on_start(self, run, data)
            return as_json(200, answer)
        if target == "/hold":
            if data.get("deadlineMs"):
                self.hold_until(data["deadlineMs"])
            seen = data.get("lastSeen", 0)
            self.site.on_seen(self, seen)
            self.ended = [e for e in self.ended if e[0] > seen]
            if not self.ended and data.get("waitMs"):
                try:
                    await asyncio.wait_for(self.event.wait(), data["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
                self.advance()
            now = time.monotonic()
            running = []
            for (task, number), run in self.running.items():
                percent = 0
                if run.at_work is not None:
                    percent = 100 if run.plan.get("lasts") else \
                        min(99, int(100 * self.work_done(run) / run.plan["work_ms"]))
                running.append([task, number, self.saved(run), percent, 0])
            return as_json(200, {"clockMs": self.clock(), "running": running, "ended": self.ended[:500]})
        return as_json(404, answer)

    def hold_until(self, deadline):
        self.until = max(self.until, min(deadline, self.clock() + BOUNDS["maxHoldMs"]))


# --- The site -------------------------------------------------------------------------------------------------------

class Site:
    def __init__(self, record, runners=8, nodes=3, runner_cpu=64000, runner_memory=131072, max_attempts=3, kind_of=None):
        self.record = Record(record)
        self.work = tempfile.mkdtemp(prefix="keelbridge-review.")
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.max_attempts = max_attempts
        self.store = Store("127.0.0.1")
        self.store.refused = self.on_refused
        self.refusals = 0
        self.brief = False   # With many tasks: the record leaves out what each runner begins and ends.
        self.runners = [Runner(self, i, "127.0.2.%d" % (i + 1), runner_cpu, runner_memory) for i in range(runners)]
        for runner in self.runners:
            if kind_of:
                runner.kind = kind_of(runner.index)
        self.nodes = nodes
        self.processes = {}
        self.violations = []
        self.live = {}      # task -> [(runner id, run)]
        self.ends = []      # (task, run, how)
        self.plans = {}
        self.tasks = []

    # Ports are chosen so that each is free on every address that the nodes use.
    def _ports(self, count):
        ips = [self.node_ip(n) for n in range(self.nodes)]
        while True:
            base = random.randrange(21000, 31000)
            taken = False
            for ip in ips:
                for port in range(base, base + count):
                    with socket.socket() as probe:
                        try:
                            probe.bind((ip, port))
                        except OSError:
                            taken = True
            if not taken:
                return base

    @staticmethod
    def node_ip(number):
        return "127.0.1.%d" % (number + 1)

    async def start(self):
        await self.store.server.start()
        self.base = self._ports(5)
        await self.publish(1)
        for runner in self.runners:
            await runner.begin_life()
        self.tasks.append(asyncio.ensure_future(self._beat()))
        self.tasks.append(asyncio.ensure_future(self._advance()))
        for number in range(self.nodes):
            self.start_node(number)
        for number in range(self.nodes):
            if not await self.until(lambda n=number: self.ready(n), 15):
                raise RuntimeError("node %d was not ready in time" % number)
        self.record.add("all nodes are ready")

    async def publish(self, version):
        config = {"version": version, "limits": {},
                  "services": [{"name": "desk", "admissionCheck": False}],
                  "routes": [{"name": "r-desk", "host": "desk.example", "pathPrefix": "/restore/", "service": "desk",
                              "priority": 0, "maxAttempts": self.max_attempts, "stretch": 2.0,
                              "targetLatencyMs": 1000}]}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.add("configuration %d is acknowledged; maxAttempts %d" % (version, self.max_attempts))

    def settings(self, number):
        """The template of the deploy file, filled as the platform fills it."""
        ip = self.node_ip(number)
        return {"name": "front-%d" % (number + 1), "zone": self.zones[number % len(self.zones)],
                "client_listen": "%s:%d" % (ip, self.base), "ready_listen": "%s:%d" % (ip, self.base + 1),
                "peer_listen": "%s:%d" % (ip, self.base + 2), "metrics_listen": "%s:%d" % (ip, self.base + 3),
                "seeds": ["%s:%d" % (self.node_ip(n), self.base + 4) for n in range(min(3, self.nodes))],
                "store": "127.0.0.1:%d" % self.store.server.port, "store_append_bytes": 2097152,
                "processor_share": 0.25, "processor_speed": 1, "link_mbps": 1000.0, "lease_ms": BOUNDS["maxHoldMs"],
                "gang_wait_ms": BOUNDS["gangTimeoutMs"], "stop_timeout_ms": BOUNDS["stopTimeoutMs"],
                "ended_kept_s": BOUNDS["status_s"], "stop_grace_s": BOUNDS["graceS"],
                "switched_on": ["learn_durations"],
                # No queue of these cases needs advice, so nothing calls there.
                "advice": "127.0.0.1:%d" % self.store.server.port}

    def start_node(self, number):
        path = os.path.join(self.work, "node-%d.json" % number)
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings(number), out)
        log = open(os.path.join(self.work, "node-%d.log" % number), "a", encoding="utf-8")
        self.processes[number] = subprocess.Popen([NODE], cwd=ROOT, stdout=log, stderr=log,
                                                  env=dict(os.environ, KEELBRIDGE_CONFIG=path))
        self.record.add("node front-%d is started" % (number + 1))

    def signal_node(self, number, name):
        self.record.add("%s to node front-%d" % (name, number + 1))
        self.processes[number].send_signal(getattr(signal, name))
        if name == "SIGKILL":
            self.processes[number].wait()

    async def ready(self, number):
        return (await call((self.node_ip(number), self.base + 1), "GET", "/ready", timeout=1))[0] == 200

    async def leads(self, number):
        text = (await call((self.node_ip(number), self.base + 3), "GET", "/metrics", timeout=1))[1]
        return "keelbridge_node_leads 1" in text

    async def leader(self):
        for number in range(self.nodes):
            if self.processes[number].poll() is None and await self.leads(number):
                return number
        return None

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def client(self, number, method, job, body=None, path="/restore/", quiet=False):
        status, text = await call((self.node_ip(number), self.base), method, path + job, body,
                                  {"Host": "desk.example", "Content-Type": "application/json",
                                   "X-Keelbridge-Remaining-Ms": "3000"})
        if not quiet:
            self.record.add("client: %s %s%s at front-%d -> %d %s" % (method, path, job, number + 1, status, text))
        return status, text

    async def state(self, number, job, quiet=True):
        status, text = await self.client(number, "GET", job, quiet=quiet)
        return json.loads(text).get("state") if status == 200 else "status %d" % status

    def plan_of(self, text):
        """The plan of a job's steps, which is its taskSpec."""
        if text not in self.plans:
            self.plans[text] = json.loads(text)
        return self.plans[text]

    def on_refused(self, size, what):
        self.refusals += 1
        if self.refusals <= 5 or self.refusals % 100 == 0:
            self.record.add("store: append %d refused, too large: a %s of %d bytes" % (self.refusals, what, size))

    # What the runners see.
    def on_start(self, runner, run, order):
        if not self.brief:
            self.record.add("runner %s begins %s run %d" % (runner.id, run.task, run.run))
        others = [o for o in self.live.get(run.task, []) if o != (runner.id, run.run)]
        if others:
            self.violations.append("TWICE: %s run %d on %s beside %s" % (run.task, run.run, runner.id, others))
        self.live.setdefault(run.task, []).append((runner.id, run.run))
        size = run.plan.get("gang")
        if size:
            step = run.task.rsplit(".", 1)[0]
            members = [(r, m) for r in self.runners if r.up for m in r.running.values()
                       if m.task.rsplit(".", 1)[0] == step and m.run == run.run]
            if len(members) == size:
                self.record.add("gang %s run %d: all %d members are present, at work" % (step, run.run, size))
                for at, member in members:
                    member.at_work = time.monotonic()
                    at.look(member)

    def on_end(self, runner, run, how):
        if not self.brief:
            self.record.add("runner %s: %s run %d ended: %s" % (runner.id, run.task, run.run, how))
        self.ends.append((run.task, run.run, how))
        if (runner.id, run.run) in self.live.get(run.task, []):
            self.live[run.task].remove((runner.id, run.run))
        if run.plan.get("gang") and how not in ("broken",):
            step = run.task.rsplit(".", 1)[0]
            for other in self.runners:
                for key in list(other.running if other.up else {}):
                    if key[0].rsplit(".", 1)[0] == step and key[1] == run.run:
                        other.end(key, "done" if how == "done" else "broken")

    def on_seen(self, runner, seen):
        pass

    async def _beat(self):
        """Each runner has its own moment within the heartbeat."""
        while True:
            for runner in self.runners:
                await asyncio.sleep(HEARTBEAT_S / len(self.runners))
                await runner.write_entry()

    async def _advance(self):
        while True:
            await asyncio.sleep(0.01)
            for runner in self.runners:
                runner.advance()

    async def stop(self, keep_logs=None):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep_logs:
            shutil.copytree(self.work, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


def run_case(scenario, record_path, **options):
    """Runs `await scenario(site, trouble)`, which returns a list of broken rules. Exits with 1 if the list holds any, 0
    if not, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def give_up(*_):  # All that was started is ended on the way out.
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, give_up)

    async def main():
        site = Site(record_path, **options)
        try:
            await site.start()
            return await asyncio.wait_for(scenario(site, trouble), 105), site.record
        finally:
            await site.stop(os.environ.get("REVIEW_LOGS"))

    try:
        broken, record = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print("could not run: %s: %s" % (type(error).__name__, error))
        raise SystemExit(2)
    for line in broken:
        record.add("BROKEN  " + line)
        print(line)
    if not broken:
        record.add("all held")
        print("all held")
    raise SystemExit(1 if broken else 0)
