"""The leader is killed while tasks that fill run on every runner: work handed in
afterwards never starts. See claim.txt."""
import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
import standin  # noqa: E402

RUNNERS, CPU = 6, 16000
FILLING = "0000000000080000"
CALM_S = 3 + 4  # contactMs, and the 4 s before the 3 s that are judged.
IDLE_S = 3  # LOST: nothing running for 3 s.
WATCH_S = 20


async def case(site, trouble):
    site.work = lambda runner, order: (
        {} if order["task"].startswith(FILLING) else {"ms": 500})
    await site.start(nodes=3, runners=RUNNERS)
    # One task that fills on each runner: its cpu isn't counted against the room.
    status, _ = await site.call(site.nodes[0], "POST", FILLING, {
        "taskSpec": "fill", "steps": [
            {"count": RUNNERS, "cpu": CPU, "memoryRequestMb": 1024, "estimatedMs": 500,
             "longRunning": True, "fills": True, "antiAffinity": 1}]})
    if status != 200:
        raise standin.CouldNotRun("the filling job was not accepted")

    async def all_filled():
        return len([run for run in site.runs if run["ended"] is None]) == RUNNERS
    await site.until(all_filled, 10, "all runners have a task that fills")
    await work(site, "0000000000080001", "before")
    if trouble:
        leader = await site.leader()
        if leader is None:
            raise standin.CouldNotRun("nobody leads")
        leader.signal(signal.SIGKILL)
        await leader.ended()
        await asyncio.sleep(3.5)
        await leader.start()
    await site.until(site.all_ready, 20, "the nodes are ready again")
    await asyncio.sleep(CALM_S)
    return await work(site, "0000000000080002", "after")


async def work(site, job, when):
    """Hands in work for a third of the site's room, and says what broke."""
    for _ in range(20):
        status, _ = await site.call(site.nodes[1], "POST", job, {
            "taskSpec": "work", "steps": [
                {"count": 4, "cpu": CPU // 2, "memoryRequestMb": 1024, "estimatedMs": 500}]})
        if status == 200:
            break
        await asyncio.sleep(0.5)
    else:
        raise standin.CouldNotRun("work was not accepted")
    begin = time.monotonic()
    in_time = False  # A task of the job ran within 3 s.
    while time.monotonic() < begin + WATCH_S:
        runs = [run for run in site.runs if run["task"].startswith(job)]
        in_time = in_time or any(run["began"] <= begin + IDLE_S for run in runs)
        if len([run for run in runs if run["how"] == "done"]) == 4:
            break
        await asyncio.sleep(0.1)
    if in_time:
        return []
    status, out = await site.call(site.nodes[1], "GET", job)
    idle = [run for run in site.runs if run["ended"] is None]
    return ["LOST: the job handed in %s the kill has nothing running for %.1f s of the %.1f s watched and is "
            "shown as %s; %d runs were begun, and %d tasks run on the site, all filling" % (
                when, min([run["began"] for run in runs], default=time.monotonic()) - begin,
                time.monotonic() - begin, json.loads(out or b"{}").get("state"),
                len(runs), len(idle))]


standin.run_case(case, os.path.join(HERE, "record.txt"))
