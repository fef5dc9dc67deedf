"""The fault soak as a call."""

import asyncio
from collections.abc import Callable

from bluebellshore.soak.run import Outcome, run_schedule, seek_smaller
from bluebellshore.soak.schedule import draw_schedule

__all__ = ["soak"]

SECONDS_PER_MINUTE = 60.0


def soak(
    seed: int,
    minutes: float,
    processes: int,
    *,
    smaller_runs: int = 0,
    note: Callable[[str], None] = lambda _: None,
) -> Outcome:
    """Run the faults of a seed against entry processes and check the promises.

    :param minutes: time in which faults begin.
    :param processes: entry processes.
    :param smaller_runs: most further runs that seek a smaller schedule.
    :param note: takes lines on the progress.
    """

    async def run() -> Outcome:
        schedule = draw_schedule(seed, minutes * SECONDS_PER_MINUTE, processes)
        outcome = await run_schedule(schedule)
        if outcome.broken and smaller_runs:
            note(outcome.report())
            outcome = await seek_smaller(outcome, smaller_runs, note)
        return outcome

    return asyncio.run(run())
