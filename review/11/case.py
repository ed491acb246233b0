"""The leader's zone is cut off while a gang runs across the zones; the next step of its job runs twice at once."""
import asyncio, json, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../common3"))
from standin import Runner, Server, now, run_case

JOBS = ["000000000009a00%d" % n for n in range(7)]
GANG_MS = {job: 2400 + 300 * n for n, job in enumerate(JOBS)}  # they end 1.4 to 3.2 s after the cut
CUT_S = 5.0  # for_s of zone_cut is 5.5 in the site file


class Zones:
    """Which of the parties of the script reach each other."""

    def __init__(self, site):
        self.site, self.cut_zone = site, None

    def split(self, a, b):
        return self.cut_zone is not None and a != b and self.cut_zone in (a, b)

    def caller_zone(self, port):
        """The zone of the node whose connection comes from `port`."""
        inode = None
        with open("/proc/net/tcp") as table:
            for line in table.readlines()[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == port and fields[3] == "01" and fields[9] != "0":
                    for number, process in self.site.nodes.items():
                        folder = "/proc/%d/fd" % process.pid
                        for one in os.listdir(folder):
                            try:
                                if os.readlink(os.path.join(folder, one)) == "socket:[%s]" % fields[9]:
                                    return "zone-%d" % number
                            except OSError:
                                pass
        return None


class Way:
    """A proxy in front of one party. What comes from beyond a cut gets no answer, and nothing passes."""

    def __init__(self, zones, zone, target):
        self.zones, self.zone, self.target = zones, zone, target

    async def start(self, host, port=0):
        server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        caller = self.zones.caller_zone(writer.get_extra_info("peername")[1])
        host, port = self.target().rsplit(":", 1)

        async def passes():
            while self.zones.split(caller, self.zone):
                await asyncio.sleep(0.05)

        await passes()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.transport.abort()

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(1 << 16)
                    await passes()
                    if not data:
                        return sink.close()
                    sink.write(data)
                    await sink.drain()
            except OSError:
                await passes()
                sink.transport.abort()

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))


class GangRunner(Runner):
    """A runner whose tasks of step 0 are a gang: they work once all are present, and end together."""

    def entry(self):
        return dict(super().entry(), address=self.way.address, zone=self.zone)

    async def beat(self):
        heard = now()
        while True:
            listed = self.site.store.part("keyed.servers").newest.get(self.id) is not None
            if not self.zones.split(self.zone, "store"):
                if now() - heard >= self.heartbeat or not listed:
                    heard, self.sequence = now(), self.sequence + 1
                    if not listed:
                        self.write_entry()
            elif listed and now() - heard >= 3 * self.heartbeat:
                # Three heartbeats of silence.
                self.site.store.put_key("keyed.servers", self.id, None)
                self.site.record("entry_lapsed", runner=self.id)
            await asyncio.sleep(0.1)

    async def clock(self):
        while True:
            for task, info in self.running.items():
                job, _, step, _ = task.split(".")
                if step == "0" and info["over_at"] == float("inf") and len(self.site.gang[job]) == 6:
                    info["over_at"] = max(self.site.gang[job]) + GANG_MS[job] / 1000
            await asyncio.sleep(0)
            for task, info in list(self.running.items()):
                if info["stop_at"] is not None and now() >= info["stop_at"]:
                    self.finish(task, "stopped")
                elif now() >= info["over_at"]:
                    self.finish(task, info["how"])
                elif self.clock_ms() > self.lease:
                    self.finish(task, "lapsed")
            await asyncio.sleep(0.01)


async def case(site, trouble):
    zones = Zones(site)
    site.gang = {job: [] for job in JOBS}  # when the members began
    runners = []
    await site.store.server.start("127.0.0.1")
    site.configure()
    for n in range(6):
        runner = GangRunner(site, "127.0.0.%d" % (100 + n), "m%d" % n)
        runner.zones, runner.zone = zones, "zone-%d" % (1 + n // 2)
        runner.start_hook = lambda task, run: site.gang[task[:16]].append(now()) if task.split(".")[2] == "0" else None
        runner.way = Way(zones, runner.zone, lambda runner=runner: runner.server.address)
        await runner.way.start(runner.host)
        await runner.start()
        runners.append(runner)
    site.ports = site.choose_ports(["127.0.0.%d" % n for n in (11, 12, 13, 21, 22, 23)])
    real_store = site.store.server.address
    for number in (1, 2, 3):
        zone = "zone-%d" % number
        store = Way(zones, "store", lambda: real_store)
        await store.start("127.0.0.1")
        peer = Way(zones, zone, lambda number=number: "127.0.0.%d:%d" % (10 + number, site.ports + 2))
        await peer.start("127.0.0.%d" % (20 + number), site.ports + 2)
        site.extra_settings = {"zone": zone, "store": store.address, "peer_announce": peer.address,
                               "seeds": ["127.0.0.%d:%d" % (20 + n, site.ports + 2) for n in (1, 2, 3)]}
        site.start_node(number)
    await site.wait_ready()
    await asyncio.sleep(4)
    leader = await site.leader()
    if leader is None:
        raise SystemExit(2)
    plan = json.dumps({"0": {}, "1": {"ms": 3000}})
    body = {"taskSpec": plan, "steps": [
        {"count": 6, "cpu": 1000, "memoryRequestMb": 512, "estimatedMs": 3000, "gang": True, "antiAffinity": 1},
        {"count": 1, "cpu": 100, "memoryRequestMb": 512, "estimatedMs": 3000, "dependsOn": [0]}]}
    for job in JOBS:
        status, _ = await site.call(leader, "POST", "/jobs/" + job, body)
        if status != 200:
            raise SystemExit(2)
    while any(len(members) < 6 for members in site.gang.values()):
        await asyncio.sleep(0.02)
        if now() > 40:
            raise SystemExit(2)
    await asyncio.sleep(1.0)
    if trouble:
        zones.cut_zone = "zone-%d" % leader
        site.record("zone_cut", zone=zones.cut_zone)
        await asyncio.sleep(CUT_S)
        zones.cut_zone = None
        site.record("zone_back")
    await asyncio.sleep(12)
    runs = [run for run in site.runs if run["task"].split(".")[2] == "1"]
    broken = []
    for a in runs:
        for b in runs:
            if a is not b and a["task"] == b["task"] and a["begin"] <= b["begin"] < (a["end"] or now()):
                broken.append("TWICE: %s run %d on %s (%.2f to %.2f s) beside run %d on %s (from %.2f s)" % (
                    a["task"], a["run"], a["runner"], a["begin"], a["end"] or now(), b["run"], b["runner"], b["begin"]))
    for job in JOBS:
        await site.call(1, "GET", "/jobs/" + job)
    return broken


# TROUBLE=0 does the same without the disruption.
run_case(case, trouble=os.environ.get("TROUBLE") != "0", record=os.path.join(HERE, "record.txt"))
