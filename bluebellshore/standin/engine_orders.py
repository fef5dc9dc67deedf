"""Orders that the model engine stand-in takes."""

from collections import deque
from enum import Enum

import msgspec

__all__ = ["FencingMode", "Order", "OrderBook", "OrderKind", "OrderResult"]

ORDERS_KEPT = 1000


class FencingMode(Enum):
    """Whether orders with an old fencing number are refused."""

    ENFORCED = "enforced"
    IGNORED = "ignored"


class OrderKind(Enum):
    """What an order changes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/orders``.

    :param name: the model, adapter, version or role.
    :param fencing: fencing number of the lease under which it is given.
    """

    kind: OrderKind
    name: str
    fencing: int


class OrderResult(msgspec.Struct):
    """Answer to an order; status 409 when it was refused."""

    accepted: bool
    highest_fencing: int


class OrderBook(msgspec.Struct):
    """What orders have brought about.

    :param history: orders that took effect, the newest last.
    """

    fencing: FencingMode
    version: str
    models: list[str]
    adapters: list[str] = msgspec.field(default_factory=list)
    role: str = "serving"
    highest_fencing: int = 0
    refused: int = 0
    history: deque[Order] = msgspec.field(
        default_factory=lambda: deque(maxlen=ORDERS_KEPT)
    )

    def take(self, order: Order) -> OrderResult:
        """Apply an order, or refuse it as old."""
        old = order.fencing < self.highest_fencing
        if old and self.fencing is FencingMode.ENFORCED:
            self.refused += 1
            return OrderResult(False, self.highest_fencing)
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        self.history.append(order)
        self._apply(order)
        return OrderResult(True, self.highest_fencing)

    def _apply(self, order: Order) -> None:
        if order.kind is OrderKind.LOAD_MODEL:
            self.models.append(order.name)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            self.adapters.append(order.name)
        elif order.kind is OrderKind.LOAD_VERSION:
            self.version = order.name
        else:
            self.role = order.name
