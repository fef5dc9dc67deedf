"""A roll-out is completed, the store comes back from a copy, all routers are killed.

Without the trouble the routers are killed as well, but the store was never restored.
"""

import asyncio
import sys
import time
from collections import Counter

from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.runner import RunnerSettings
from review.system_2 import System, main, with_trouble

SERVICE = "plain"
ROUTES = [StandinRoute("/desk/", "safe", SERVICE)]
ROLLOUT_SECONDS = 15
RATE = 45.0
#: The copy is younger than the completion: it has the order and its end.
SECONDS_AFTER_COMPLETION = 8.0
AWAY_SECONDS, COPY_SECONDS = 1.5, 4.0
DOWN_SECONDS = 0.8
RECOVERY_SECONDS = 12.0
MEASURED_SECONDS = 8.0
#: "Some seconds" after `rolled_back`, the new backend servers drain.
DRAIN_AFTER_SECONDS = 3.0


async def play_platform(system: System) -> None:
    """Do what the platform does at each state of the roll-out."""
    last = None
    while True:
        await asyncio.sleep(0.02)
        status = system.status_of(SERVICE)
        state = status and status["state"]
        if state == last:
            continue
        system.note(f"status/rollout/{SERVICE}: {last} -> {state}")
        last = state
        if state == "completed":
            for runner in system.runners:
                if runner.settings.version == "1" and runner.state != "stopped":
                    runner.state = "stopped"
                    await runner.crash()
                    system.entries.remove(runner.runner_id)
            system.note("the old backend servers have stopped")
        if state == "rolled_back":
            await asyncio.sleep(DRAIN_AFTER_SECONDS)
            for runner in system.runners:
                if runner.settings.version == "2":
                    await runner.drain()
            system.note("the new backend servers drain")


def share_served(answers: list[dict]) -> float:
    """Return the share of requests that got a success."""
    return sum(answer["status"] == 200 for answer in answers) / len(answers)


async def play(system: System) -> bool:
    await system.start(ROUTES, None)
    for version in ("1", "2"):
        for number in range(2):
            if version == "2":
                continue
            settings = RunnerSettings(SERVICE, version=version, slots=16, seconds=0.02)
            await system.add_runner(f"plain-{version}-{number}", settings)
    await system.start_routers()
    platform = asyncio.create_task(play_platform(system))
    load = asyncio.create_task(system.load("/desk/x", RATE, 18.0))
    await asyncio.sleep(3.0)
    for number in range(2):
        settings = RunnerSettings(SERVICE, version="2", slots=16, seconds=0.02)
        await system.add_runner(f"plain-2-{number}", settings)
    order = {"service": SERVICE, "target": "2", "durationS": ROLLOUT_SECONDS}
    system.entries.write("op", f"rollout/{SERVICE}", order)
    system.note(f"the operator orders version 2, durationS {ROLLOUT_SECONDS}")
    before = await load
    status = system.status_of(SERVICE)
    if status is None or status["state"] != "completed":
        raise RuntimeError(f"the roll-out was not completed: {status}")
    system.note(f"served during the roll-out: {share_served(before):.3f}")
    before = await system.load("/desk/x", RATE, SECONDS_AFTER_COMPLETION)
    system.note(f"served after the completion: {share_served(before):.3f}")
    if with_trouble():
        await system.restore(AWAY_SECONDS, COPY_SECONDS)
    else:
        await asyncio.sleep(AWAY_SECONDS)
    before = await system.load("/desk/x", RATE, 5.0)
    system.note(f"served before the final fault: {share_served(before):.3f}")
    system.note("all routers are killed")
    await asyncio.gather(*(router.end() for router in system.routers))
    await asyncio.sleep(DOWN_SECONDS)
    for router in system.routers:
        router.start()
    await system.wait_ready(system.routers)
    back_at = time.monotonic()
    system.note("all routers are back and ready")
    early = await system.load("/desk/x", RATE, RECOVERY_SECONDS)
    system.note(f"served in the first {RECOVERY_SECONDS} s: {share_served(early):.3f}")
    await asyncio.sleep(max(0.0, back_at + RECOVERY_SECONDS - time.monotonic()))
    after = await system.load("/desk/x", RATE, MEASURED_SECONDS)
    statuses = dict(Counter(answer["status"] for answer in after))
    texts = Counter(
        a["body"].decode(errors="replace")[:90] for a in after if a["status"] >= 400
    )
    system.note(f"later than {RECOVERY_SECONDS} s: {len(after)} requests, {statuses}")
    for text, count in texts.most_common(3):
        system.note(f"  {count} x {text.strip()}")
    system.note(f"status at the end: {system.status_of(SERVICE)}")
    platform.cancel()
    return share_served(before) < 0.25 or share_served(after) >= 0.25


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], 3, play))
