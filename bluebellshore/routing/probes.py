"""Decides when what was refused for the servers' sake is tried again."""

import xxhash

__all__ = ["ROUTERS_PER_PROBE_INTERVAL", "next_probe_at"]

#: Routers that share the time between two probes; more of them wait longer.
ROUTERS_PER_PROBE_INTERVAL = 8


def next_probe_at(
    now: float, interval_seconds: float, *, router: str, subject: str, routers: int
) -> float:
    """Return the monotonic seconds from which a router may probe a subject.

    Routers probe at different times, so that one hears of another's probe before its
    own is due.

    :param interval_seconds: shortest time until a probe of any router.
    :param router: identifies the router.
    :param subject: identifies what is refused.
    :param routers: number of routers.
    """
    digest = xxhash.xxh32_intdigest(f"{router}\0{subject}".encode())
    spread = max(1.0, routers / ROUTERS_PER_PROBE_INTERVAL)
    return now + interval_seconds * (1.0 + digest / 2**32 * spread)
