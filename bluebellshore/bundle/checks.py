"""Check the content of bundles.

Each problem is a text that begins with the path of the faulty value, e.g.
``customers.acme.budget: no budget 'north'``.
"""

import re
from collections.abc import Iterable, Iterator

from bluebellshore.bundle.delta import SECTIONS, Changes
from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Move,
    Route,
    RouteKind,
    Version,
)

__all__ = ["check_bundle", "check_changed_entries", "range_problem"]

#: Up to this number, a 64-bit float represents every integer exactly.
MAX_EXACT_INTEGER = 2**53
MAX_CONCURRENCY = 65536
MAX_WEIGHT = 1000
MAX_COMMENT_CHARS = 1000

_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


def range_problem(path: str, value: float, low: float, high: float) -> str:
    """Return a problem when `value` is not from `low` to `high`, else an empty text."""
    if low <= value <= high:
        return ""
    return f"{path}: {value!r}, expected {low:g} to {high:g}"


def _range_problems(
    path: str, *fields: tuple[str, float, float, float]
) -> Iterator[str]:
    for name, value, low, high in fields:
        problem = range_problem(f"{path}.{name}", value, low, high)
        if problem:
            yield problem


def _check_customer(path: str, customer: Customer, bundle: Bundle) -> Iterator[str]:
    if customer.budget not in bundle.budgets:
        yield f"{path}.budget: no budget {customer.budget!r}"
    for index, key_hash in enumerate(customer.key_hashes):
        if not _KEY_HASH_PATTERN.fullmatch(key_hash):
            yield f"{path}.key_hashes[{index}]: expected 64 lower-case hex digits"
    yield from _range_problems(path, ("weight", customer.weight, 1, MAX_WEIGHT))


def _check_budget(path: str, budget: Budget, bundle: Bundle) -> Iterator[str]:
    yield from _range_problems(
        path, ("prepaid_total", budget.prepaid_total, 0, MAX_EXACT_INTEGER)
    )


def _check_version(path: str, version: Version, bundle: Bundle) -> Iterator[str]:
    yield from _range_problems(
        path, ("concurrency", version.concurrency, 1, MAX_CONCURRENCY)
    )


def _version_problem(path: str, name: str, kind: RouteKind, bundle: Bundle) -> str:
    version = bundle.versions.get(name)
    if version is None:
        return f"{path}: no version {name!r}"
    if kind is RouteKind.MODEL and not version.model:
        return f"{path}: version {name!r} has no model"
    if kind is RouteKind.SERVICE and version.model:
        return f"{path}: version {name!r} of a plain service has a model"
    return ""


def _check_route(path: str, route: Route, bundle: Bundle) -> Iterator[str]:
    problem = _version_problem(f"{path}.version", route.version, route.kind, bundle)
    if problem:
        yield problem
    yield from _range_problems(
        path,
        ("max_output_tokens", route.max_output_tokens, 1, MAX_EXACT_INTEGER),
        ("price", route.price, 0, MAX_EXACT_INTEGER),
        ("deadline_seconds", route.deadline_seconds, 0.001, 86400.0),
    )


def _check_steps(path: str, steps: list[float]) -> Iterator[str]:
    if not steps or steps[-1] != 1.0:
        yield f"{path}: the last step must be 1.0"
    if any(not 0.0 < step <= 1.0 for step in steps):
        yield f"{path}: each step is a share above 0 and up to 1"
    if any(low >= high for low, high in zip(steps, steps[1:], strict=False)):
        yield f"{path}: steps must rise"


def _check_move(path: str, move: Move, bundle: Bundle) -> Iterator[str]:
    route = bundle.routes.get(move.route)
    if route is None:
        yield f"{path}.route: no route {move.route!r}"
    else:
        for name in ("old", "new"):
            version = getattr(move, name)
            problem = _version_problem(f"{path}.{name}", version, route.kind, bundle)
            if problem:
                yield problem
        if route.version not in {move.old, move.new}:
            yield f"{path}: route {move.route!r} is on version {route.version!r}"
    if move.old == move.new:
        yield f"{path}.new: same version as old"
    yield from _check_steps(f"{path}.steps", move.steps)
    yield from _range_problems(
        path,
        ("deadline", move.deadline, 0.0, MAX_EXACT_INTEGER),
        ("step_seconds", move.step_seconds, 0.0, 86400.0),
        ("criteria.min_requests", move.criteria.min_requests, 1, 10**9),
        ("criteria.max_failure_excess", move.criteria.max_failure_excess, 0.0, 1.0),
        ("criteria.max_latency_ratio", move.criteria.max_latency_ratio, 1.0, 1000.0),
    )


_CHECK_BY_SECTION = {
    "customers": _check_customer,
    "budgets": _check_budget,
    "versions": _check_version,
    "routes": _check_route,
    "moves": _check_move,
}


def _check_entries(bundle: Bundle, section: str, ids: Iterable[str]) -> Iterator[str]:
    entries = getattr(bundle, section)
    check = _CHECK_BY_SECTION[section]
    for entry_id in ids:
        path = f"{section}.{entry_id}"
        if not _ID_PATTERN.fullmatch(entry_id):
            yield f"{path!r}: an id has 1 to 64 letters, digits, '.', '_' or '-'"
        yield from check(path, entries[entry_id], bundle)


def _check_header(bundle: Bundle) -> Iterator[str]:
    if bundle.number < 1 or bundle.number > MAX_EXACT_INTEGER:
        yield f"number: {bundle.number}, expected 1 or more"
    if bundle.parent != bundle.number - 1:
        yield f"parent: {bundle.parent}, expected number - 1 = {bundle.number - 1}"
    if len(bundle.comment) > MAX_COMMENT_CHARS:
        yield f"comment: longer than {MAX_COMMENT_CHARS} characters"
    for index, release in enumerate(bundle.releases):
        if release.budget not in bundle.budgets:
            yield f"releases[{index}].budget: no budget {release.budget!r}"
        if not release.incarnation:
            yield f"releases[{index}].incarnation: is empty"


def _check_keys_unique(bundle: Bundle) -> Iterator[str]:
    owner_by_hash: dict[str, str] = {}
    for customer_id, customer in bundle.customers.items():
        for index, key_hash in enumerate(customer.key_hashes):
            owner = owner_by_hash.setdefault(key_hash, customer_id)
            if owner != customer_id:
                path = f"customers.{customer_id}.key_hashes[{index}]"
                yield f"{path}: also a key of customer {owner!r}"


def check_bundle(bundle: Bundle) -> list[str]:
    """Return every problem of `bundle` that shows without its predecessor."""
    problems = list(_check_header(bundle))
    for section in SECTIONS:
        problems += _check_entries(bundle, section, getattr(bundle, section))
    problems += _check_keys_unique(bundle)
    return problems


def check_changed_entries(bundle: Bundle, chain: list[Changes]) -> list[str]:
    """Return the problems of the entries that `chain` changed.

    Versions, routes and moves are few, so all of them are always checked. All
    customers are checked when a budget was removed, as any of them may refer to it.

    :param bundle: the bundle after all changes.
    :param chain: the changes that led to `bundle`.
    """
    problems = list(_check_header(bundle))
    customers = {key for changes in chain for key in changes.customers}
    budgets = {key for changes in chain for key in changes.budgets}
    if not budgets <= bundle.budgets.keys():
        customers = set(bundle.customers)
    problems += _check_entries(
        bundle, "customers", sorted(customers & bundle.customers.keys())
    )
    problems += _check_entries(
        bundle, "budgets", sorted(budgets & bundle.budgets.keys())
    )
    for section in ("versions", "routes", "moves"):
        problems += _check_entries(bundle, section, getattr(bundle, section))
    if customers:
        problems += _check_keys_unique(bundle)
    return problems
