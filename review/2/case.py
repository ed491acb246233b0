"""240 runners, each of a kind of its own, and three nodes. The store is silent for 4.5 s; the runners' entries lapse
meanwhile and are back within 1.5 s of its return, each at the next heartbeat of its runner. Before and three times
after that each kind gets a small job of one task, which needs a runner of that kind. Each has to run: its runner is up
and idle, with room for 64 such tasks."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import standin  # noqa: E402

RUNNERS = 240
DOWN_S = 4.5


async def scenario(site, trouble):
    site.brief = True
    holds = {}   # runner index -> time of its last /hold
    inner = standin.Runner.handle

    async def handle(runner, method, target, headers, body):
        if target == "/hold":
            holds[runner.index] = time.monotonic()
        return await inner(runner, method, target, headers, body)

    for runner in site.runners:
        runner.server.handle = lambda *a, r=runner: handle(r, *a)
    kinds = sorted({runner.kind for runner in site.runners})
    accepted = {}   # job -> kind

    async def round_of_jobs(number):
        async def hand_in(at, kind):
            job = "%08x%08x" % (number, at + 1)
            body = {"taskSpec": json.dumps([{"work_ms": 300}]),
                    "steps": [{"count": 1, "cpu": 1000, "memoryRequestMb": 64, "estimatedMs": 300,
                               "requirements": kind}]}
            if (await site.client(at % site.nodes, "POST", job, body, quiet=True))[0] == 200:
                accepted[job] = kind

        for begin in range(0, len(kinds), 20):
            await asyncio.gather(*(hand_in(at, kinds[at]) for at in range(begin, min(begin + 20, len(kinds)))))

    await round_of_jobs(1)
    await asyncio.sleep(3)
    site.record.add("%d jobs accepted, one of each kind" % len(accepted))
    if trouble:
        site.record.add("the store falls silent")
        await site.store.fall_silent(site, DOWN_S)
        site.record.add("the store is back, the entries of the runners follow")
    await asyncio.sleep(3)
    for number in (2, 3, 4):
        await round_of_jobs(number)
        site.record.add("round %d is handed in" % number)
        await asyncio.sleep(4)
    # Over 20 s after the trouble, and 14 s after the last job came.
    await asyncio.sleep(10)
    stuck = []
    for job, kind in accepted.items():
        if await site.state(0, job) != "completed":
            stuck.append((job, kind))
    now = time.monotonic()
    unheld_count = sum(1 for runner in site.runners if now - holds.get(runner.index, 0) > 6)
    site.record.add("runners that got no /hold for 6 s, though they are up: %d of %d" % (unheld_count, RUNNERS))
    for job, kind in stuck:
        runner = next(r for r in site.runners if r.kind == kind)
        site.record.add("job %s has not run; it needs kind %s, that is runner %s, which is up with %d runs"
                        % (job, kind, runner.id, len(runner.running)))
    site.record.add("%d of %d accepted jobs have not run" % (len(stuck), len(accepted)))
    if stuck:
        return ["LOST: %d of %d accepted jobs have nothing running, with an idle runner each, 14 s after the last came"
                "" % (len(stuck), len(accepted))]
    return []


def kind_of(index):
    return "k%03d" % index


# What was sent, answered and run is written to record.txt beside this file.
RECORD = sys.argv[1] if len(sys.argv) > 1 else os.path.join(HERE, "record.txt")
standin.run_case(scenario, RECORD, runners=RUNNERS, nodes=3, kind_of=kind_of)
