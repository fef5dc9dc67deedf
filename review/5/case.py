"""Routers that restart in turn forget the request that crashes backend servers."""

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
    Router,
    System,
    run,
    send,
)

SERVICE, PATH = "orders", "/orders/"
DEADLY = b"the same order each time"
ROUTERS, RUNNERS = 5, 3
WORK_SECONDS = 0.045
BACK_SECONDS = 3.0
#: Sound orders a second, through all routers that are ready.
RATE = 23.0
#: First repeats of the deadly order, through the routers in turn.
FIRST_REPEATS, REPEAT_SECONDS = 4, 3.0
#: Routers that are stopped and started again, and the time from one to the next.
RESTARTS, STEP_SECONDS = 4, 20.0
GRACE_SECONDS = 8.0
RETRIES_ALLOWED = 3


class Runner(StandinRunner):
    """A backend server that crashes when it begins to run the deadly order."""

    begun: list[tuple[float, str, str]]
    crashes: list[float]
    system: System
    record: Record
    deaths: set[asyncio.Task]

    async def _run(self, request, seen):
        if seen.body == DEADLY:
            self.record.write(f"server   {self.runner_id} runs the deadly order")
            self.begun.append((seen.at, seen.attempt_id, self.runner_id))
            self.deaths.add(asyncio.create_task(self._die()))
            await asyncio.sleep(60)
        return await super()._run(request, seen)

    async def _die(self) -> None:
        await asyncio.sleep(0.01)
        self.crashes.append(time.monotonic())
        lost = sum(other.body != DEADLY for other in self.at_work)
        self.record.write(
            f"server   {self.runner_id} crashes, with {lost} sound orders"
        )
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
        Runner.begun, Runner.crashes, Runner.deaths = [], [], set()
        system.configure()
        for number in range(RUNNERS):
            await start_runner(system, f"orders-{number}.1", record)
        await system.start_routers()
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        ready = list(system.routers)
        sound = asyncio.create_task(send_sound_orders(ready, record))
        await asyncio.sleep(2.0)
        for number in range(FIRST_REPEATS):
            router = system.routers[number % ROUTERS]
            await send(router, PATH, DEADLY, record, note="(deadly)")
            await asyncio.sleep(REPEAT_SECONDS)
        known = len(Runner.crashes)
        record.write(f"{known} crashes in {FIRST_REPEATS} tries")
        if not known:
            return CANNOT_RUN
        for router in system.routers[:RESTARTS]:
            began_at = time.monotonic()
            if TROUBLE:
                ready.remove(router)
                await restart(router, record)
                ready.append(router)
            # The router is in touch contactMs after its start.
            await asyncio.sleep(CONTACT_SECONDS + 0.5)
            for _ in range(3):
                await send(router, PATH, DEADLY, record, note="(deadly)")
                await asyncio.sleep(1.5)
            await asyncio.sleep(began_at + STEP_SECONDS - time.monotonic())
        sound.cancel()
        await asyncio.gather(sound, return_exceptions=True)
        for task in Runner.deaths:
            task.cancel()
        return judge(record)


async def restart(router: Router, record: Record) -> None:
    """Stop a router as the platform does, and start it again."""
    record.write(f"SIGTERM to {router.name}")
    router.process.terminate()
    async with asyncio.timeout(GRACE_SECONDS):
        while router.process.poll() is None:
            await asyncio.sleep(0.05)
    router.start()
    async with asyncio.timeout(10.0):
        while not await router.is_ready():
            await asyncio.sleep(0.05)
    record.write(f"{router.name} is ready again")


async def send_sound_orders(ready: list[Router], record: Record) -> None:
    number, tasks = 0, set()
    while True:
        number += 1
        router = ready[number % len(ready)]
        body = b"order %d" % number
        task = asyncio.create_task(send(router, PATH, body, record))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / RATE)


def judge(record: Record) -> int:
    crashes = sorted(Runner.crashes)
    record.write(f"{len(crashes)} crashes in all")
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
