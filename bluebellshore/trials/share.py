"""Which requests go to the new version of a move."""

import xxhash

from bluebellshore.ids import MoveId, RequestKey

__all__ = ["CONTROL_SHARE", "applied_share", "takes_new_version"]

#: Share that stays on the old version until a move is done, so that the new version
#: can be compared with the old one at the same time.
CONTROL_SHARE = 0.1
_HASH_RANGE = 2.0**64


def applied_share(step: float) -> float:
    """Return the share of requests that the new version gets in a step."""
    return min(step, 1.0 - CONTROL_SHARE)


def takes_new_version(move: MoveId, key: RequestKey, share: float) -> bool:
    """Return whether a request belongs to the new version's share.

    All routers agree without talking, and a key that went to the new version stays
    there while the share rises.
    """
    seed = xxhash.xxh3_64_intdigest(move.encode())
    point = xxhash.xxh3_64_intdigest(key.encode(), seed=seed)
    return point < share * _HASH_RANGE
