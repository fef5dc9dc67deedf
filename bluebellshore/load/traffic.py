"""Open-loop traffic of a deployment, the same for each seed."""

import asyncio
import random
from collections.abc import Iterator, Sequence

import aiohttp
import msgspec

from bluebellshore.ids import CustomerId
from bluebellshore.load.caller import Caller, caller_session, expected_answer_of
from bluebellshore.load.deployments import MODEL, Deployment, Mix, bearer_of
from bluebellshore.load.results import (
    Call,
    CallKind,
    CallResult,
    ReadPace,
    RetryPolicy,
)

__all__ = ["Arrival", "arrivals", "run_traffic"]

SLOW_PACE = ReadPace(pause_seconds=0.2, chunk_bytes=4096)
SLOW_BUFFER_BYTES = 4096
#: Beginnings that prompts share, as photo notes and route sheets do.
PREFIXES = 20
PREFIX_WORDS = 40


class Arrival(msgspec.Struct, frozen=True):
    """A call that a customer makes at a time, whatever became of earlier ones.

    :param at: seconds from the start of the run.
    """

    at: float
    customer: CustomerId
    call: Call
    slow: bool = False


def arrivals(
    deployment: Deployment, *, per_second: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Give the arrivals of a run: a Poisson process with a fixed seed."""
    rng = random.Random(seed)
    customers = list(deployment.weights_by_customer)
    weights = list(deployment.weights_by_customer.values())
    shares = [mix.share for mix in deployment.mix]
    at = rng.expovariate(per_second)
    number = 0
    while at < seconds:
        number += 1
        mix = rng.choices(deployment.mix, shares)[0]
        customer = rng.choices(customers, weights)[0]
        call = _make_call(mix, f"{seed}-{number}", rng)
        yield Arrival(at, customer, call, slow=rng.random() < mix.slow_share)
        at += rng.expovariate(per_second)


def _make_call(mix: Mix, name: str, rng: random.Random) -> Call:
    if mix.kind in (CallKind.ORDER, CallKind.STOCK):
        call = Call(mix.kind, mix.route, f"item-{rng.randrange(50)}", key=f"k-{name}")
    else:
        prefix = f"note {rng.randrange(PREFIXES)} " * PREFIX_WORDS
        text = f"{prefix}question {name}"
        call = Call(
            mix.kind, mix.route, text, key=f"k-{name}", max_tokens=mix.max_tokens
        )
    return msgspec.structs.replace(call, expected=expected_answer_of(call, MODEL))


async def run_traffic(
    urls: Sequence[str],
    planned: Sequence[Arrival],
    *,
    retry: RetryPolicy | None = None,
    seed: int = 1,
) -> list[CallResult]:
    """Make all planned calls at their times. :return: results in that order.

    :param urls: base URLs of the routers; a list that changes is followed.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    start = loop.time()

    async def make(arrival: Arrival, session: aiohttp.ClientSession) -> CallResult:
        caller = Caller(
            session,
            urls,
            bearer_of(arrival.customer),
            customer=arrival.customer,
            retry=retry,
            pace=SLOW_PACE if arrival.slow else None,
            rng=random.Random(rng.random()),
        )
        return await caller.call(arrival.call)

    async with caller_session() as fast, caller_session(SLOW_BUFFER_BYTES) as slow:
        tasks = []
        for arrival in planned:
            await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
            session = slow if arrival.slow else fast
            tasks.append(asyncio.create_task(make(arrival, session)))
        return list(await asyncio.gather(*tasks))
