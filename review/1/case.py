"""A request that crashes each backend server that runs it, on a quiet service."""

import asyncio
import pathlib
import time

from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from review.common import (
    BROKEN,
    CANNOT_RUN,
    CONTACT_SECONDS,
    HELD,
    TROUBLE,
    Record,
    System,
    run,
    send,
)

SERVICE, PATH = "orders", "/orders/"
DEADLY = b"the same order each time"
ROUTERS, RUNNERS = 5, 3
WORK_SECONDS = 0.045
BACK_SECONDS = 3.0
REPEATS, REPEAT_SECONDS = 12, 5.0
#: Sound orders are sent through the other routers just before the deadly one.
AHEAD_SECONDS = 0.015
RETRIES_ALLOWED = 3


class Runner(StandinRunner):
    """A backend server that crashes when it begins to run the deadly order."""

    begun: list[tuple[float, str, str]]
    crashes: list[float]
    system: System
    lost: list[str]
    record: Record
    deaths: set[asyncio.Task]

    async def _run(self, request, seen):
        deadly = seen.body == DEADLY
        self.record.write(
            f"server   {self.runner_id} runs {seen.attempt_id}"
            f"{' (deadly)' if deadly else ''}"
        )
        if deadly:
            self.begun.append((seen.at, seen.attempt_id, self.runner_id))
            if TROUBLE:
                task = asyncio.create_task(self._die())
                self.deaths.add(task)
                await asyncio.sleep(60)
        return await super()._run(request, seen)

    async def _die(self) -> None:
        await asyncio.sleep(0.01)
        self.crashes.append(time.monotonic())
        for other in self.at_work:
            if other.body != DEADLY:
                self.lost.append(other.attempt_id)
        self.record.write(f"server   {self.runner_id} crashes")
        await self.crash()
        await asyncio.sleep(BACK_SECONDS)
        name, _, life = self.runner_id.partition(".")
        await start_runner(self.system, f"{name}.{int(life) + 1}", self.record)


async def start_runner(system: System, runner_id: str, record: Record) -> None:
    """Start a life of a backend server."""
    settings = RunnerSettings(SERVICE, slots=6, queued=24, seconds=WORK_SECONDS)
    await system.start_runner(runner_id, settings, Runner)
    record.write(f"server   {runner_id} is up")


async def case(record: Record) -> int:
    route = StandinRoute(
        PATH,
        "unsafe",
        SERVICE,
        timeout_seconds=1.2,
        objective_seconds=0.15,
        max_attempts=1,
    )
    async with System.open(ROUTERS, [route]) as system:
        Runner.system, Runner.record = system, record
        Runner.begun, Runner.crashes, Runner.lost, Runner.deaths = [], [], [], set()
        system.configure()
        for number in range(RUNNERS):
            await start_runner(system, f"orders-{number}.1", record)
        await system.start_routers()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        probe = await send(system.routers[0], PATH, b"probe", record)
        if probe.status != 200:
            return CANNOT_RUN
        for number in range(REPEATS):
            await send_round(system, number, record)
            await asyncio.sleep(REPEAT_SECONDS)
        for task in Runner.deaths:
            task.cancel()
        return judge(record)


async def send_round(system: System, number: int, record: Record) -> None:
    """Send the deadly order through one router and a sound one through each other."""
    routers = list(system.routers)
    chosen = routers.pop(number % ROUTERS)
    sound = [
        asyncio.create_task(
            send(router, PATH, f"order {number} of {router.name}".encode(), record)
        )
        for router in routers
    ]
    await asyncio.sleep(AHEAD_SECONDS)
    await send(chosen, PATH, DEADLY, record, note="(deadly)")
    await asyncio.gather(*sound)


def judge(record: Record) -> int:
    crashes = sorted(Runner.crashes)
    record.write(f"{len(crashes)} crashes; orders lost with them: {Runner.lost}")
    if len(crashes) < 3:
        return HELD
    late = [at for at, _, _ in Runner.begun if at > crashes[2] + CONTACT_SECONDS]
    record.write(
        f"{len(late)} retries reached servers later than {CONTACT_SECONDS} s after the "
        f"third crash; {RETRIES_ALLOWED} are allowed"
    )
    return BROKEN if len(late) > RETRIES_ALLOWED else HELD


if __name__ == "__main__":
    run(case, str(pathlib.Path(__file__).parent))
