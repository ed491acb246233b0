"""Tasks that last end by themselves with `done`: they aren't started again. See
claim.txt."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common2"))
import standin  # noqa: E402

PAIR, SINGLE = "0000000000070001", "0000000000070002"
# The tasks that end by themselves once, and how.
ENDING = {PAIR + ".0.0.0": "done", PAIR + ".0.0.1": "failed", SINGLE + ".0.0.0": "done"}


def lasting(count):
    return {"taskSpec": "serve", "steps": [
        {"count": count, "cpu": 1000, "memoryRequestMb": 256, "estimatedMs": 500,
         "longRunning": True}]}


async def case(site, trouble):
    left = dict(ENDING) if trouble else {}

    def work(runner, order):
        how = left.pop(order["task"], None)
        return {"ms": 4000, "how": how} if how else {}

    site.work = work
    await site.start(nodes=3, runners=6)
    for job, count in ((PAIR, 2), (SINGLE, 1)):
        status, _ = await site.call(site.nodes[0], "POST", job, lasting(count))
        if status != 200:
            raise standin.CouldNotRun("a job was not accepted")
    # The tasks end after 4 s. From 6 s after a task's last run on, it may run
    # nowhere for less than 3 s; the calls leave one second more.
    await asyncio.sleep(4 + 6 + 3 + 1)
    broken = []
    for job, count in ((PAIR, 2), (SINGLE, 1)):
        status, out = await site.call(site.nodes[1], "GET", job)
        for index in range(count):
            task = "%s.0.0.%d" % (job, index)
            runs = [run for run in site.runs if run["task"] == task]
            if not runs:
                raise standin.CouldNotRun("%s has not begun" % task)
            # LOST: runs nowhere for 3 s, from 6 s after its last run on.
            ends = [run["ended"] or time.monotonic() for run in runs]
            begins = [run["began"] for run in runs[1:]] + [time.monotonic()]
            gaps = [begin - end for begin, end in zip(begins, ends)]
            if max(gaps) >= 6 + 3:
                last = runs[gaps.index(max(gaps))]
                broken.append("LOST: %s runs nowhere for %.1f s after its run %d ended "
                              "`%s`; the job is shown as %s, and nobody cancelled it" % (
                                  task, max(gaps), last["run"],
                                  last["how"], json.loads(out or b"{}").get("state")))
    return broken


standin.run_case(case, os.path.join(HERE, "record.txt"))
