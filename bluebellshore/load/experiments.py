"""Experiments: the same run with the fleet's policies and with plain ones."""

import random
from collections.abc import Callable

import msgspec

from bluebellshore.bundle.model import Criteria
from bluebellshore.ids import CustomerId
from bluebellshore.load.caller import expected_answer_of
from bluebellshore.load.deployments import (
    ASSISTANT,
    ATLAS_CADRAN,
    CHAT,
    MODEL,
    STALPENI,
    first_bundle,
)
from bluebellshore.load.faults import Fault, FaultKind
from bluebellshore.load.results import Call, CallKind
from bluebellshore.load.runs import MovePlan, RunPlan
from bluebellshore.load.traffic import Arrival

__all__ = ["EXPERIMENTS_BY_NAME", "standard_faults"]

SLOW_READERS = 60
SLOW_TOKENS = 3000
TIGHT_PREPAID = 1_500
PLATFORM = "platform-1"
MOVE_REQUESTS = 12


def standard_faults(seconds: float) -> list[Fault]:
    """Return a timeline with each kind of failure, spread over a run."""
    at = lambda share: share * seconds  # noqa: E731
    outage = lambda on: {"outage": on}  # noqa: E731
    return [
        Fault(at(0.10), FaultKind.CRASH_AND_REPLACE, "sidecar-1"),
        Fault(at(0.20), FaultKind.CONTROL, PLATFORM, body=outage(True)),
        Fault(at(0.40), FaultKind.CONTROL, PLATFORM, body=outage(False)),
        Fault(at(0.45), FaultKind.CONTROL, PLATFORM, body={"lose_answers": 0.2}),
        Fault(at(0.60), FaultKind.CONTROL, PLATFORM, body={"lose_answers": 0.0}),
        Fault(at(0.65), FaultKind.FREEZE, "sidecar-2"),
        Fault(at(0.80), FaultKind.WAKE, "sidecar-2"),
        Fault(at(0.85), FaultKind.REPLACE, "sidecar-3"),
    ]


def budgets(seed: int) -> list[RunPlan]:
    """Spend tight budgets out, with an outage of the platform in between."""
    outage = [
        Fault(6.0, FaultKind.CONTROL, PLATFORM, body={"outage": True}),
        Fault(14.0, FaultKind.CONTROL, PLATFORM, body={"outage": False}),
    ]
    return [
        RunPlan(
            name=policy,
            deployment=STALPENI,
            bundle=first_bundle(STALPENI, prepaid_per_weight=TIGHT_PREPAID),
            seconds=25.0,
            per_second=25.0,
            seed=seed,
            router_settings={"allotment_policy": policy},
            faults=outage,
        )
        for policy in ("horizon", "share", "fixed")
    ]


def readers(seed: int) -> list[RunPlan]:
    """Stream long guidance to slow readers, with and without credit."""
    rng = random.Random(seed)
    planned = [_long_reading(number, rng) for number in range(SLOW_READERS)]
    planned.sort(key=lambda arrival: arrival.at)
    return [
        RunPlan(
            name=f"credit-{credit}",
            deployment=ATLAS_CADRAN,
            seed=seed,
            planned=planned,
            router_settings={"credit_bytes": credit},
            engine_settings={"between_tokens_seconds": 0.002, "capacity": 32},
        )
        for credit in (16 * 1024, 64 * 1024, 0)
    ]


def _long_reading(number: int, rng: random.Random) -> Arrival:
    text = f"guidance {number}"
    call = Call(
        CallKind.CHAT, ASSISTANT, text, key=f"long-{number}", max_tokens=SLOW_TOKENS
    )
    call = msgspec.structs.replace(call, expected=expected_answer_of(call, MODEL))
    customers = list(ATLAS_CADRAN.weights_by_customer)
    return Arrival(rng.uniform(0, 2), CustomerId(rng.choice(customers)), call, True)


def versions(seed: int) -> list[RunPlan]:
    """Move a route to good and bad versions under traffic."""
    faults: dict[str, dict[str, object]] = {
        "good": {},
        "fail": {"fault": "fail", "fault_share": 0.3},
        "slow": {"fault": "slow", "slow_factor": 4.0},
        "fail-later": {"fault": "fail_later", "fault_after": 12.0},
        "fail-under-load": {"fault": "fail_under_load", "fault_load": 3},
        "truncate": {"fault": "truncate", "fault_share": 0.5},
    }
    return [
        RunPlan(
            name=name,
            deployment=STALPENI,
            seconds=40.0,
            per_second=60.0,
            seed=seed,
            move=MovePlan(
                route=CHAT,
                engines=3,
                engine_settings=settings,
                steps=(0.1, 0.5, 1.0),
                deadline_seconds=60.0,
                criteria=Criteria(min_requests=MOVE_REQUESTS),
            ),
        )
        for name, settings in faults.items()
    ]


def routing(seed: int) -> list[RunPlan]:
    """Balance and retry under failing sidecars, with plain policies beside."""
    faults = [
        Fault(4.0, FaultKind.CRASH_AND_REPLACE, "sidecar-1"),
        Fault(8.0, FaultKind.FREEZE, "sidecar-2"),
        Fault(14.0, FaultKind.WAKE, "sidecar-2"),
    ]
    variants: dict[str, dict[str, object]] = {
        "default": {},
        "round-robin": {"balancer": "round-robin"},
        "no-retry-budget": {"retry_share": 1.0},
    }
    return [
        RunPlan(
            name=name,
            deployment=STALPENI,
            seconds=20.0,
            per_second=50.0,
            seed=seed,
            router_settings=settings,
            faults=faults,
        )
        for name, settings in variants.items()
    ]


def network(seed: int) -> list[RunPlan]:
    """Break the links: resets, silence, lost track of connections, a partition."""
    both = lambda change: {"up": change, "down": change}  # noqa: E731
    silent = {"swallow": "existing"}
    blocked, passing = {"blocked": True}, {"blocked": False}
    bodies_by_name: dict[str, list[tuple[float, dict[str, object]]]] = {
        "cut": [(6.0, {"cut": True}), (12.0, {"cut": True})],
        "silent": [(6.0, both(silent))],
        "half-open": [(6.0, {"half_open": True})],
        "partition": [(6.0, both(blocked)), (14.0, both(passing))],
    }
    return [
        RunPlan(
            name=name,
            deployment=STALPENI,
            through_proxies=True,
            seconds=20.0,
            per_second=30.0,
            seed=seed,
            faults=[
                Fault(at, FaultKind.CONTROL, proxy, body=body)
                for at, body in steps
                for proxy in ("proxy-1", "proxy-2", "proxy-11")
            ],
        )
        for name, steps in bodies_by_name.items()
    ]


EXPERIMENTS_BY_NAME: dict[str, Callable[[int], list[RunPlan]]] = {
    "budgets": budgets,
    "network": network,
    "readers": readers,
    "routing": routing,
    "versions": versions,
}
