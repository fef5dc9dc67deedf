"""Rows that budgets keep in the table service."""

import math
import zlib
from enum import Enum
from typing import TypeVar

import msgspec

from bluebellshore.ids import (
    BudgetId,
    CustomerId,
    Epoch,
    IncarnationId,
    InstanceId,
    RequestKey,
    RouteName,
    Tokens,
    VersionName,
)
from bluebellshore.store.interface import Row
from bluebellshore.store.keys import fitting_key
from bluebellshore.wire.link_pb2 import Receipt

__all__ = [
    "INCARNATION_PREFIX",
    "Allotment",
    "Bill",
    "BillMarker",
    "BudgetRow",
    "IncarnationRow",
    "IncarnationState",
    "LedgerRow",
    "bill_key",
    "budget_key",
    "decode_row",
    "encode_row",
    "encode_uncompressed",
    "incarnation_key",
    "is_caller_keyed",
    "ledger_key",
    "ledger_prefix",
    "row_json",
]

INCARNATION_PREFIX = "incarnation/"
#: Bytes of a value from which on it is compressed. A row names each router that holds
#: some of its budget: with 20 of them it shrinks to a third, and routers on slow links
#: read and write many such rows.
COMPRESSED_BYTES = 512
#: Quickest level; higher ones make such rows hardly smaller.
COMPRESSION_LEVEL = 1
#: First byte of a compressed value; no JSON text begins with it.
COMPRESSED_START = b"x"


class IncarnationState(Enum):
    """State of a router incarnation."""

    LIVE = "live"
    FENCED = "fenced"
    CLOSED = "closed"


class Allotment(msgspec.Struct):
    """Tokens that one incarnation may spend from a budget.

    :param outstanding: tokens granted and neither billed nor returned.
    :param sequence: the incarnation's transaction that wrote this entry last.
    :param wanted: tokens its waiting requests lack; others return idle tokens.
    :param held: the incarnation is lost and what it spent cannot be accounted for.
    """

    outstanding: Tokens = Tokens(0)
    sequence: int = 0
    wanted: Tokens = Tokens(0)
    held: bool = False


class BudgetRow(msgspec.Struct):
    """Row ``budget/<id>``; settled + sum of outstanding <= prepaid total.

    :param settled: tokens billed since the budget was opened.
    """

    settled: Tokens = Tokens(0)
    allotments: dict[IncarnationId, Allotment] = msgspec.field(default_factory=dict)

    def unallotted(self, prepaid_total: Tokens) -> Tokens:
        """Return the tokens that may still be granted."""
        used = self.settled + sum(a.outstanding for a in self.allotments.values())
        return Tokens(max(0, prepaid_total - used))

    def held(self) -> Tokens:
        """Return the tokens held for lost incarnations."""
        held = (a.outstanding for a in self.allotments.values() if a.held)
        return Tokens(sum(held))


class IncarnationRow(msgspec.Struct):
    """Row ``incarnation/<id>``; part of each transaction of its router.

    :param sequence: number of the last transaction; serves as the heartbeat too.
    :param sidecars: sidecars in use. Nothing is sent to one that is not listed.
    :param caps: bounds, by budget, on the unsettled tokens at any one sidecar. Has
        each budget in whose row the incarnation may have an allotment.
    :param seen_seconds: the store's time at some moment before this was written.
    :param growth: tokens a second by which each cap grows from that moment on.
    :param lapse_seconds: the caps may be exceeded from this long after that moment;
        0 when they always hold and never grow.
    :param recoveries: transactions of reclaimers; these leave `sequence` alone, by
        which the router recognizes its own.
    """

    instance_id: InstanceId
    epoch: Epoch = Epoch(1)
    state: IncarnationState = IncarnationState.LIVE
    sequence: int = 0
    sidecars: list[IncarnationId] = msgspec.field(default_factory=list)
    caps: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    seen_seconds: float = 0.0
    growth: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    lapse_seconds: float = 0.0
    recoveries: int = 0

    def caps_hold(self, store_seconds: float | None) -> bool:
        """Whether an incarnation that was dead by then kept to its caps."""
        if not self.lapse_seconds:
            return True
        if store_seconds is None:
            return False
        return 0 <= store_seconds - self.seen_seconds < self.lapse_seconds

    def cap_at(self, budget: BudgetId, store_seconds: float | None) -> Tokens:
        """Return a cap that holds, as it was at that time at the latest."""
        since = 0.0 if store_seconds is None else store_seconds - self.seen_seconds
        grown = math.ceil(self.growth.get(budget, 0) * since)
        return Tokens(self.caps[budget] + grown)


class Bill(msgspec.Struct, frozen=True):
    """One billed request."""

    attempt: str
    key: RequestKey
    customer: CustomerId
    budget: BudgetId
    route: RouteName
    version: VersionName
    tokens: Tokens

    @classmethod
    def from_receipt(cls, receipt: Receipt, limit: Tokens) -> "Bill":
        """Return the bill of a receipt, for at most `limit` tokens."""
        return cls(
            attempt=receipt.attempt,
            key=RequestKey(receipt.key),
            customer=CustomerId(receipt.customer),
            budget=BudgetId(receipt.budget),
            route=RouteName(receipt.route),
            version=VersionName(receipt.version),
            tokens=Tokens(min(receipt.tokens, limit)),
        )


class LedgerRow(msgspec.Struct):
    """Row ``ledger/<incarnation>/<sequence>``: a batch of bills."""

    bills: list[Bill]


class BillMarker(msgspec.Struct):
    """Row ``bill/<key>``: the request with this key is billed."""

    attempt: str
    incarnation: IncarnationId


def budget_key(budget: BudgetId) -> str:
    """Return the key of a budget's row."""
    return f"budget/{budget}"


def incarnation_key(incarnation: IncarnationId) -> str:
    """Return the key of an incarnation's row."""
    return f"{INCARNATION_PREFIX}{incarnation}"


def ledger_prefix(incarnation: IncarnationId) -> str:
    """Return the prefix of the ledger rows of an incarnation."""
    return f"ledger/{incarnation}/"


def ledger_key(incarnation: IncarnationId, sequence: int, recovery: int = 0) -> str:
    """Return the key of a batch of bills; keys sort by `sequence`.

    :param recovery: number of the reclaimer's transaction; 0 for the router's own.
    """
    suffix = f".{recovery:06d}" if recovery else ""
    return f"{ledger_prefix(incarnation)}{sequence:016d}{suffix}"


def bill_key(key: RequestKey) -> str:
    """Return the key of the marker of a billed request."""
    return fitting_key(f"bill/{key}")


def is_caller_keyed(key: RequestKey) -> bool:
    """Whether the caller chose the key; keys made by a router start with ``~``."""
    return not key.partition("/")[2].startswith("~")


RowT = TypeVar("RowT")

#: Rows that routers write again and again; the ledger stays legible to anyone.
COMPRESSED_TYPES = (BudgetRow, IncarnationRow)


def row_json(value: bytes) -> bytes:
    """Return the JSON text of a row's value.

    :raises msgspec.DecodeError: the value is damaged.
    """
    if not value.startswith(COMPRESSED_START):
        return value
    try:
        return zlib.decompress(value)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_row(row: Row | None, row_type: type[RowT]) -> RowT | None:
    """Decode a row's value; None when the row is absent."""
    if row is None:
        return None
    return msgspec.json.decode(row_json(row.value), type=row_type)


def encode_uncompressed(value: msgspec.Struct) -> bytes:
    """Encode the value of a row without compression, for comparison."""
    return msgspec.json.encode(value)


def encode_row(value: msgspec.Struct) -> bytes:
    """Encode the value of a row."""
    content = encode_uncompressed(value)
    if len(content) < COMPRESSED_BYTES or not isinstance(value, COMPRESSED_TYPES):
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)
