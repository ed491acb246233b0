"""Two runners crash at the same moment while a job with times runs; the leading node ends by itself."""
import asyncio, json, os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../common3"))
from standin import Runner, now, run_case

ROUNDS = 10


async def case(site, trouble):
    # Fifteen runners, so that two of them are a share of 0.133.
    runners = [Runner(site, "127.0.0.%d" % (100 + n), "m%d" % n) for n in range(15)]
    await site.start_platform(runners)
    for number in (1, 2, 3):
        site.start_node(number)
    await site.wait_ready()
    await asyncio.sleep(2)
    ends = {1: 0, 2: 0, 3: 0}

    async def platform():
        # A process that ends is started again after a short delay.
        while True:
            for number, process in list(site.nodes.items()):
                if process.poll() is not None:
                    ends[number] += 1
                    site.record("node_ended_by_itself", node=number, status=process.returncode)
                    await asyncio.sleep(2)
                    site.start_node(number)
            await asyncio.sleep(0.05)

    watching = asyncio.ensure_future(platform())
    for n in range(ROUNDS):
        # A job with two times, the second one a minute later. Its task works for 1 s.
        job = "%016x" % (0x71ed000000000000 + n)
        body = {"taskSpec": json.dumps({"0": {"ms": 1000}}), "maxRuns": 2, "intervalMs": 60000,
                "firstRunMs": int(time.time() * 1000) + 300,
                "steps": [{"count": 1, "cpu": 1000, "memoryRequestMb": 512, "estimatedMs": 1000}]}
        if not await site.submit(job, body):
            break
        task, until = job + ".0.0.0", now() + 5
        while now() < until and not any(task in runner.running for runner in runners):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        busy = [runner for runner in runners if task in runner.running]
        if not busy:
            site.record("not_started", task=task)
            continue
        other = next(runner for runner in runners if not runner.running and runner is not busy[0])
        if trouble:
            # Both crash at once; one is back after 0.6 s, the other after 4 s.
            await busy[0].crash()
            await other.crash()
            await asyncio.sleep(0.6)
            await busy[0].start()
            await asyncio.sleep(3.4)
            await other.start()
            await asyncio.sleep(3.5)
        else:
            await asyncio.sleep(2.5)
    await asyncio.sleep(1)
    watching.cancel()
    site.record("ends", of="nodes", by_node=ends)
    often = [number for number, times in ends.items() if times >= 3]
    broken = []
    if len(often) >= 2:
        broken.append("Fault: processes of nodes %s ended by themselves three times or more: %s" % (often, ends))
    elif any(ends.values()):
        print("processes ended by themselves, though less often than the rule says:", ends)
    return broken


# TROUBLE=0 does the same without the disruption.
run_case(case, trouble=os.environ.get("TROUBLE") != "0", record=os.path.join(HERE, "record.txt"))
