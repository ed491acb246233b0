"""A client's job is cancelled while the node that it was handed to stands still:
the cancel is answered, and the job runs all the same. See claim.txt."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
import standin  # noqa: E402

JOB = "00000000000a0001"
CANCEL_S = 3  # cancel_ms
FREEZE_S = 3.5
NODES = 10  # One of them is frozen (0.1).
OTHERS = 3  # Clients that stay: one of four leaves (0.25).
STEP = {"count": 1, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 2500}


async def case(site, trouble):
    site.work = lambda runner, order: {"ms": 2500}
    await site.start(nodes=NODES, runners=6)
    leader = await site.leader()
    if leader is None:
        raise standin.CouldNotRun("nobody leads")
    first, second = [node for node in site.nodes if node is not leader][:2]
    begin = time.monotonic()
    if trouble:
        first.signal(signal.SIGSTOP)
    for number in range(OTHERS):
        await site.call(second, "POST", "%016x" % (0xa1000 + number), {
            "taskSpec": "of a client that stays", "steps": [STEP]})
    # The client leaves after 1 s, before its deadline, and cancels its job at
    # another node; that is answered.
    await site.call(first, "POST", JOB, {
        "taskSpec": "two steps", "steps": [STEP, dict(STEP, dependsOn=[0])]}, wait=1.0)
    status, _ = await site.call(second, "DELETE", JOB)
    answered = time.monotonic()
    if status // 100 != 2 and status != 410:
        raise standin.CouldNotRun("the cancel was not answered")
    await asyncio.sleep(max(0, begin + FREEZE_S - time.monotonic()))
    if trouble:
        first.signal(signal.SIGCONT)
    await asyncio.sleep(10)
    return ["UNASKED: %s run %d begins %.1f s after the job's cancelling was answered "
            "with %d" % (run["task"], run["run"], run["began"] - answered, status)
            for run in site.runs
            if run["task"].startswith(JOB) and run["began"] > answered + CANCEL_S]


standin.run_case(case, os.path.join(HERE, "record.txt"))
