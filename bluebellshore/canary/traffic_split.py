"""Assigns requests to the old or the new backend server version by hash."""

import xxhash

from bluebellshore.ids import MoveId, RequestKey

__all__ = ["CONTROL_SHARE", "routes_to_new_version", "share_of_step"]

#: Share of requests that stays on the old version until a move is done, so that both
#: versions can be compared over the same time.
CONTROL_SHARE = 0.1
_HASH_RANGE = 2.0**64


def share_of_step(step: float) -> float:
    """Return the share of requests that the new version gets during a step.

    :param step: the step's share as configured, from 0 to 1.
    """
    return min(step, 1.0 - CONTROL_SHARE)


def routes_to_new_version(move: MoveId, key: RequestKey, share: float) -> bool:
    """Return whether a request is assigned to the new version.

    The hash of the request key decides, so all routers agree without communication,
    and a key that is assigned to the new version stays assigned while the share rises.

    :param move: seeds the hash, so that each move picks other requests.
    :param share: share of requests for the new version, from 0 to 1.
    """
    seed = xxhash.xxh3_64_intdigest(move.encode())
    point = xxhash.xxh3_64_intdigest(key.encode(), seed=seed)
    return point < share * _HASH_RANGE
