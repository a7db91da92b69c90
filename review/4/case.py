"""A cancel is answered 410 while the submission's record is on its way: the work starts later."""

import asyncio

from standins.site import BOUNDS, Worker, run_case

RUN_S = 12.0
LATE_S = 5.8
TASKS = 4


async def scenario(site, trouble):
    workers = [Worker(site, n, f"z{n % 3 + 1}", f"r{n % 3}-{n // 3}") for n in range(6)]
    await site.start(workers)
    job = "00000000000000c1"
    if trouble:
        # The writes of one second are done late and not answered.
        until = site.record.now() + 1.6

        def lose(node, keys):
            if site.record.now() < until and any(job in key for key in keys):
                return LATE_S
            return None

        site.store.lose_append = lose
    step = {"count": TASKS, "cpu": 980, "memMb": 2000, "estimatedMs": int(RUN_S * 1000)}
    body = {"spec": f'{{"run_s": {RUN_S}}}', "steps": [step]}
    status, _ = await site.submit(site.nodes[0], job, body)
    site.record.add("submitted", status=status)
    status, _ = await site.call(site.nodes[0], "DELETE", "/plan/" + job)
    acknowledged = site.record.now()
    if trouble:
        site.record.add("writes_answered", count=sum(at > until - 1.6 for at in site.store.answered))
    if status not in (200, 410):
        raise RuntimeError(f"the cancel was answered {status}")
    await asyncio.sleep(LATE_S + RUN_S + 3.0)
    limit = acknowledged + BOUNDS["cancelMs"] / 1000
    late = [event for event in site.history if event[1] == "start" and event[0] > limit]
    found = [
        f"{task}_starts_at_{at:.3f}_cancel_answered_at_{acknowledged:.3f}"
        for at, _, task, _, _, _ in late
    ]
    await site.state(job)
    return found


run_case(__file__, scenario)
