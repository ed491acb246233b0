"""Runners are replaced one after the other under tasks that last; the room of the new ones is lost for other work."""
import asyncio, json, os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../common3"))
from standin import Runner, now, run_case

LASTS, BATCH, SMALL = "00000000000e0001", "00000000000e0002", "00000000000e0003"


async def case(site, trouble):
    runners = [Runner(site, "127.0.0.%d" % (100 + n), "m%d" % n) for n in range(5)]
    await site.start_platform(runners)
    for number in (1, 2, 3):
        site.start_node(number)
    await site.wait_ready()
    await asyncio.sleep(2)
    lasting = {"count": 5, "cpu": 3000, "memoryRequestMb": 1024, "estimatedMs": 500, "longRunning": True,
               "antiAffinity": 1, "mayMiss": 1}
    if not await site.submit(LASTS, {"taskSpec": json.dumps({"0": {}}), "steps": [lasting]}):
        raise SystemExit(2)
    await asyncio.sleep(2)
    if trouble:
        # Three releases, each of 2 of 5 runners (share 0.4), one at a time: the new one starts first, the old one
        # drains, serves on for 4 s and ends.
        old, fresh = list(runners), 5
        for release in range(3):
            for runner in old[2 * release:2 * release + 2]:
                new = Runner(site, "127.0.0.%d" % (100 + fresh), "m%d" % fresh)
                fresh += 1
                site.runners.append(new)
                await new.start()
                await asyncio.sleep(2)
                await runner.drain(4)
                await asyncio.sleep(1)
    await asyncio.sleep(3)
    # The lasting job is cancelled. Nothing runs any more.
    status, _ = await site.call(2, "DELETE", "/jobs/" + LASTS)
    if status != 200:
        raise SystemExit(2)
    await asyncio.sleep(3)
    step = {"count": 2, "cpu": 6000, "memoryRequestMb": 1024, "estimatedMs": 1000}
    for job, cpu in ((SMALL, 4000), (BATCH, 6000)):
        body = {"taskSpec": json.dumps({"0": {"ms": 1000}}), "steps": [dict(step, cpu=cpu)]}
        if not await site.submit(job, body):
            raise SystemExit(2)
    # The jobs are asked for `finish_s` (14 s) after the last one came; everything has been calm for longer than that.
    handed_in = now()
    await asyncio.sleep(14)
    alive = [runner for runner in site.runners if runner.up and runner.state == "ready"]
    running = sum(len(runner.running) for runner in alive)
    broken = []
    for job, cpu in ((SMALL, 4000), (BATCH, 6000)):
        fits = sum(runner.capacity["cpu"] // cpu for runner in alive)  # Both jobs have two tasks.
        status, body = await site.call(1, "GET", "/jobs/" + job)
        begun = [run for run in site.runs if run["task"].startswith(job)]
        # Nothing running for 3 s, capacity for it twice over, under half of the capacity in use.
        if not begun and fits >= 2 * 2 and running == 0:
            broken.append("LOST: accepted job %s has had nothing running for %.0f s; %d runners of 8 cores are up and run "
                          "%d tasks" % (job, now() - handed_in, len(alive), running))
    return broken


# TROUBLE=0 does the same without the disruption.
run_case(case, trouble=os.environ.get("TROUBLE") != "0", record=os.path.join(HERE, "record.txt"))
