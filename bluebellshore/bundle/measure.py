"""Measure the size and the processor time of one change of configuration.

Run with ``python -m bluebellshore.bundle.measure``.
"""

import gc
import hashlib
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bluebellshore.bundle.delta import (
    canonical_payload,
    encode_update,
    snapshot_of,
)
from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Route,
    RouteKind,
    SignedBundle,
    Version,
)
from bluebellshore.bundle.signing import Verifier, generate_keypair, sign_bundle

__all__ = ["Cost", "main", "make_bundle", "measure"]

#: Rate of changes that the fleet is built for.
CHANGES_PER_DAY = 59_000
SECONDS_PER_DAY = 86_400
MODEL_COUNT = 18
REPETITIONS = 15


class Cost(msgspec.Struct):
    """Cost of one budget top-up on a router that receives it and sends it on.

    :param customers: number of customers in the bundle.
    :param budgets: number of budgets in the bundle.
    :param snapshot_bytes: size of a snapshot update.
    :param delta_bytes: median size of a delta update.
    :param delta_ms: processor time to verify a delta and put it in force, in
        milliseconds, as all times here.
    :param snapshot_ms: time to verify a snapshot and put it in force.
    :param signature_ms: part of `delta_ms` that verifies the signature.
    :param payload_ms: part of `delta_ms` that encodes the full payload.
    :param stale_ms: time to reject a snapshot that is not newer.
    :param memory_bytes: memory that one keeper uses.
    """

    customers: int
    budgets: int
    snapshot_bytes: int
    delta_bytes: int
    delta_ms: float
    snapshot_ms: float
    signature_ms: float
    payload_ms: float
    stale_ms: float
    memory_bytes: int

    def core_share(self) -> float:
        """Return the share of a core that deltas use at :data:`CHANGES_PER_DAY`."""
        return self.delta_ms / 1000 * CHANGES_PER_DAY / SECONDS_PER_DAY

    def bytes_per_second(self) -> float:
        """Return the bytes per second on one link at :data:`CHANGES_PER_DAY`."""
        return self.delta_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY


def make_bundle(customers: int, budgets: int) -> Bundle:
    """Return the first bundle with this many customers and budgets."""
    budget_by_id = {f"budget-{n:06d}": Budget(10**9 + n) for n in range(budgets)}
    budget_ids = sorted(budget_by_id)
    return Bundle(
        number=1,
        parent=0,
        customers={
            f"customer-{n:05d}": Customer(
                budget=budget_ids[n % budgets],
                key_hashes=[hashlib.sha256(str(n).encode()).hexdigest()],
            )
            for n in range(customers)
        },
        budgets=budget_by_id,
        versions={
            f"m{n}-v1": Version(model=f"m{n}", concurrency=16)
            for n in range(MODEL_COUNT)
        },
        routes={
            f"m{n}": Route(kind=RouteKind.MODEL, version=f"m{n}-v1")
            for n in range(MODEL_COUNT)
        },
    )


def _top_up(bundle: Bundle, step: int) -> Bundle:
    budget_id = sorted(bundle.budgets)[step * 7 % len(bundle.budgets)]
    total = bundle.budgets[budget_id].prepaid_total + 1000
    return msgspec.structs.replace(
        bundle,
        number=bundle.number + 1,
        parent=bundle.number,
        budgets=bundle.budgets | {budget_id: Budget(total)},
    )


def _cpu_ms(action: Callable[[], object]) -> float:
    start = time.process_time()
    action()
    return (time.process_time() - start) * 1000


def _memory_bytes(signed: SignedBundle, verifier: Verifier) -> int:
    gc.collect()
    tracemalloc.start()
    try:
        keeper = BundleKeeper(verifier)
        keeper.offer(encode_update(snapshot_of(signed)))
        gc.collect()
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def measure(customers: int, budgets: int) -> Cost:
    """Measure top-ups of single budgets; most results are medians."""
    private, public = generate_keypair()
    verifier = Verifier([public])
    sender, receiver = BundleKeeper(verifier), BundleKeeper(verifier)
    bundle = make_bundle(customers, budgets)
    signed = sign_bundle(bundle, private)
    first_update = encode_update(snapshot_of(signed))
    snapshot_times = [_cpu_ms(lambda: BundleKeeper(verifier).offer(first_update))]
    sender.offer(first_update)
    receiver.offer(first_update)
    delta_times, signature_times, payload_times, delta_sizes = [], [], [], []
    for step in range(REPETITIONS):
        bundle = _top_up(bundle, step)
        signed = sign_bundle(bundle, private)
        snapshot = encode_update(snapshot_of(signed))
        snapshot_times.append(_cpu_ms(lambda: BundleKeeper(verifier).offer(snapshot)))  # noqa: B023
        sender.offer(snapshot)
        update = sender.update_for(receiver.number)
        delta_sizes.append(len(update))
        delta_times.append(_cpu_ms(lambda: receiver.offer(update)))  # noqa: B023
        signature_times.append(_cpu_ms(lambda: verifier.verify_signature(signed)))  # noqa: B023
        payload_times.append(_cpu_ms(lambda: canonical_payload(bundle)))  # noqa: B023
        assert receiver.number == bundle.number
    return Cost(
        customers=customers,
        budgets=budgets,
        snapshot_bytes=len(snapshot),
        delta_bytes=int(statistics.median(delta_sizes)),
        delta_ms=statistics.median(delta_times),
        snapshot_ms=statistics.median(snapshot_times),
        signature_ms=statistics.median(signature_times),
        payload_ms=statistics.median(payload_times),
        stale_ms=_cpu_ms(lambda: [receiver.offer(snapshot) for _ in range(1000)])
        / 1000,
        memory_bytes=_memory_bytes(signed, verifier),
    )


def main() -> None:
    """Measure and print the costs for small and large bundles."""
    for customers, budgets in ((30, 20), (3000, 20), (30, 20_000), (3000, 20_000)):
        cost = measure(customers, budgets)
        print(msgspec.json.encode(cost).decode())
        share, rate = cost.core_share(), cost.bytes_per_second()
        print(f"  at {CHANGES_PER_DAY} changes a day: {share:.2%} of a core,", end="")
        print(f" {rate:.0f} bytes a second over one link")


if __name__ == "__main__":
    main()
