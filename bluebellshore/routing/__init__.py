"""Load balancing over backend servers: placement, queueing, health and retries.

The names exported here are used by routers in front of sidecars
(:mod:`bluebellshore.router`). Entry routers (:mod:`bluebellshore.entry`), which call
backend servers directly, import the other modules.
"""

from bluebellshore.routing.affinity import rendezvous_order, rendezvous_winner
from bluebellshore.routing.balancer import (
    Balancer,
    Candidate,
    PowerOfTwoBalancer,
    RoundRobinBalancer,
    load_of,
)
from bluebellshore.routing.retries import RetryBudget

__all__ = [
    "Balancer",
    "Candidate",
    "PowerOfTwoBalancer",
    "RetryBudget",
    "RoundRobinBalancer",
    "load_of",
    "rendezvous_order",
    "rendezvous_winner",
]
