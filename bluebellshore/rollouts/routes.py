"""Splits the target version's requests so that it is tested on every route."""

from collections import Counter

from bluebellshore.ids import RouteName
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey

__all__ = ["has_enough_results", "route_share", "route_weights"]

#: Answers of the target version that the end of the canary phase needs, on all routes.
MIN_ANSWERS = 20
#: Least and most answers that it needs on each route, and the fraction of the service's
#: requests from which a route is considered.
ROUTE_ANSWERS_RANGE = (4, 20)
MIN_ROUTE_FRACTION = 0.05
#: Fraction of the answers expected on a route that suffices.
SUFFICIENT_FRACTION = 0.6
#: Limit of the weight of a route with few requests, and the highest share of the
#: service at which weights apply.
MAX_WEIGHT = 8.0
MAX_WEIGHTED_SERVICE_SHARE = 0.25
#: Exponent of a route's rarity in its weight. At 1.0 all routes get as many requests at
#: the target version; above it rare ones get more, as they get few once the share is
#: high.
RARITY_EXPONENT = 1.5
#: Limit of a route's weighted share.
MAX_ROUTE_SHARE = 0.6
#: Requests that are added to what a route got and to what it was due before the two are
#: compared, so that a difference of a few requests by chance matters little.
DUE_SMOOTHING_REQUESTS = 4
#: Requests of the service from which the routes' fractions are known well enough.
MIN_REQUESTS = 30


def has_enough_results(
    counts_by_key: dict[CountsKey, AttemptCounts], expected: float
) -> bool:
    """Return whether the target version's answers suffice for a verdict.

    :param expected: answers that are expected on all routes in the canary phase.
    """
    sent, answers = _requests_by_route(counts_by_key)
    if answers.total() < MIN_ANSWERS:
        return False
    routes = [
        route for route in sent if sent[route] >= MIN_ROUTE_FRACTION * sent.total()
    ]
    weights = _rarity_weights(sent)
    least, most = ROUTE_ANSWERS_RANGE
    for route in routes:
        fraction = weights.get(route, 1.0) * sent[route] / sent.total()
        possible = min(expected * fraction, MAX_ROUTE_SHARE * sent[route])
        if answers[route] < min(most, max(least, SUFFICIENT_FRACTION * possible)):
            return False
    return True


def route_weights(
    counts_by_key: dict[CountsKey, AttemptCounts],
) -> dict[RouteName, float]:
    """Return by route the factor by which its share differs from the service's.

    All routes together get the service's share. A route that has got less than its due
    gets more until it has caught up.

    :return: empty while there are too few requests.
    """
    sent, _ = _requests_by_route(counts_by_key)
    weights = _rarity_weights(sent)
    if not weights:
        return {}
    target_sent: Counter[RouteName] = Counter()
    for key, counts in counts_by_key.items():
        if key.is_target:
            target_sent[key.route] += counts.sent
    for route in weights:
        due = target_sent.total() * weights[route] * sent[route] / sent.total()
        weights[route] *= (due + DUE_SMOOTHING_REQUESTS) / (
            target_sent[route] + DUE_SMOOTHING_REQUESTS
        )
    return _normalized(weights, sent)


def route_share(share: float, weight: float) -> float:
    """Return a route's share of requests for the target version.

    :param share: the service's share; above the canary phase all routes have it.
    :param weight: the route's weight.
    """
    if share > MAX_WEIGHTED_SERVICE_SHARE:
        return share
    return min(MAX_ROUTE_SHARE, share * weight)


def _requests_by_route(
    counts_by_key: dict[CountsKey, AttemptCounts],
) -> tuple[Counter[RouteName], Counter[RouteName]]:
    """Return the requests of all versions, and the target version's answers."""
    sent: Counter[RouteName] = Counter()
    answers: Counter[RouteName] = Counter()
    for key, counts in counts_by_key.items():
        sent[key.route] += counts.sent
        if key.is_target:
            answers[key.route] += counts.ended
    return sent, answers


def _rarity_weights(sent: Counter[RouteName]) -> dict[RouteName, float]:
    """Return the weights that follow from how rare each route's requests are."""
    if sent.total() < MIN_REQUESTS:
        return {}
    mean = sent.total() / len(sent)
    weights = {
        route: min(MAX_WEIGHT, (mean / sent[route]) ** RARITY_EXPONENT)
        for route in sent
    }
    return _normalized(weights, sent)


def _normalized(
    weights: dict[RouteName, float], sent: Counter[RouteName]
) -> dict[RouteName, float]:
    """Return the weights scaled to a mean of 1 over all requests."""
    mean = sum(weights[route] * sent[route] for route in weights) / sent.total()
    return {route: weight / mean for route, weight in weights.items()}
