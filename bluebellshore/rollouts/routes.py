"""Sees to it that a target version is tried on each of its service's routes."""

from collections import Counter

from bluebellshore.ids import RouteName
from bluebellshore.rollouts.evidence import Counts, Key

__all__ = ["has_results", "route_share", "route_weights"]

#: Answers of the target version without which its share stays low: in all, and on each
#: route with at least this part of the requests, where as many are expected.
LEAST_RESULTS = 20
ROUTE_RESULTS = (4, 20)
ROUTE_PART = 0.05
#: Part of a route's expected answers that suffices.
EXPECTED_PART = 0.6
#: Multiple of the share that a route with few requests gets at most, the share up to
#: which it does, and the most that it so gets.
MOST_WEIGHT = 8.0
LOW_SHARE = 0.25
#: Power of a route's rarity that its weight follows. At 1.0 all routes get as many
#: requests; above it rare ones get more, as they get few once the share is high.
RARITY_POWER = 1.5
MOST_SHARE = 0.6
#: Requests added to what a route got and was due before the two are compared: by chance
#: a route gets a few less or more, and what it lacks is made up for.
DUE_EXTRA = 4
#: Requests from which the routes' parts are known.
LEAST_REQUESTS = 30


def has_results(counts_by_key: dict[Key, Counts], expected: float) -> bool:
    """Return whether the target version's answers suffice for an opinion.

    :param expected: answers on all routes together while the share is low.
    """
    sent, results = _by_route(counts_by_key)
    if results.total() < LEAST_RESULTS:
        return False
    routes = [route for route in sent if sent[route] >= ROUTE_PART * sent.total()]
    weights = _due_weights(sent)
    least, most = ROUTE_RESULTS
    for route in routes:
        part = weights.get(route, 1.0) * sent[route] / sent.total()
        possible = min(expected * part, MOST_SHARE * sent[route])
        if results[route] < min(most, max(least, EXPECTED_PART * possible)):
            return False
    return True


def route_weights(counts_by_key: dict[Key, Counts]) -> dict[RouteName, float]:
    """Return the multiple of the share for each route.

    All routes together get the share that is planned, and one that got less than its
    due makes up for it.
    """
    sent, _ = _by_route(counts_by_key)
    weights = _due_weights(sent)
    if not weights:
        return {}
    tried: Counter[RouteName] = Counter()
    for key, counts in counts_by_key.items():
        if key.target:
            tried[key.route] += counts.sent
    for route in weights:
        due = tried.total() * weights[route] * sent[route] / sent.total()
        weights[route] *= (due + DUE_EXTRA) / (tried[route] + DUE_EXTRA)
    return _scaled(weights, sent)


def route_share(share: float, weight: float) -> float:
    """Return a route's share; routes differ only while the share is low."""
    if share > LOW_SHARE:
        return share
    return min(MOST_SHARE, share * weight)


def _by_route(
    counts_by_key: dict[Key, Counts],
) -> tuple[Counter[RouteName], Counter[RouteName]]:
    """Return all requests, and the target version's answers."""
    sent: Counter[RouteName] = Counter()
    results: Counter[RouteName] = Counter()
    for key, counts in counts_by_key.items():
        sent[key.route] += counts.sent
        if key.target:
            results[key.route] += counts.ended
    return sent, results


def _due_weights(sent: Counter[RouteName]) -> dict[RouteName, float]:
    """Return the weights that routes have by their rarity alone."""
    if sent.total() < LEAST_REQUESTS:
        return {}
    mean = sent.total() / len(sent)
    weights = {
        route: min(MOST_WEIGHT, (mean / sent[route]) ** RARITY_POWER) for route in sent
    }
    return _scaled(weights, sent)


def _scaled(
    weights: dict[RouteName, float], sent: Counter[RouteName]
) -> dict[RouteName, float]:
    """Return weights with which all routes together get the share."""
    taken = sum(weights[route] * sent[route] for route in weights) / sent.total()
    return {route: weight / taken for route, weight in weights.items()}
