"""Rows that budgets keep in the table service."""

import math
import zlib
from enum import Enum
from typing import TypeVar

import msgspec

from bluebellshore.budget.unbilled import BudgetTotals
from bluebellshore.decoding import decode_json
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
from bluebellshore.store.keys import shorten_key
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
#: Least length of a value that is compressed. The row of a budget names each router
#: that holds some of its tokens. With 20 routers compression reduces it to a third.
#: That matters to routers on slow links, since they read and write many such rows.
MIN_COMPRESSED_BYTES = 512
#: Fastest level of zlib. Higher levels make such rows hardly smaller.
COMPRESSION_LEVEL = 1
#: Longest content of a compressed value.
MAX_DECOMPRESSED_BYTES = 4 * 1024 * 1024
#: First byte of each compressed value. No JSON text begins with it.
COMPRESSED_FIRST_BYTE = b"x"


class IncarnationState(Enum):
    """State of a router incarnation.

    :cvar LIVE: the router may commit transactions.
    :cvar FENCED: the router cannot commit any more; another process recovers its
        tokens.
    :cvar CLOSED: the router settled all bills, returned its tokens and ended.
    """

    LIVE = "live"
    FENCED = "fenced"
    CLOSED = "closed"


class Allotment(msgspec.Struct):
    """Tokens of a budget that one incarnation has drawn.

    :param outstanding: tokens granted and neither billed nor returned.
    :param sequence: number of the incarnation's transaction that wrote this entry last.
    :param wanted: tokens that its waiting requests lack. Other routers return free
        tokens for them.
    :param held: whether the incarnation is lost and may have spent the tokens without a
        bill. They are kept until an operator releases them or its sidecars confirm the
        fence.
    """

    outstanding: Tokens = Tokens(0)
    sequence: int = 0
    wanted: Tokens = Tokens(0)
    held: bool = False


class BudgetRow(msgspec.Struct, omit_defaults=True):
    """Row ``budget/<id>``: the tokens billed and the tokens held of one budget.

    `settled` and all outstanding tokens together never exceed the prepaid total.

    :param settled: tokens billed since the budget was created.
    :param allotments: tokens held, by incarnation.
    :param recount_era: era of the store for which the row was compared with what the
        routers had read in earlier eras.
    :param recount_base: tokens used when it was first compared.
    :param recounted: tokens added to `settled` by the comparison.
    """

    settled: Tokens = Tokens(0)
    allotments: dict[IncarnationId, Allotment] = msgspec.field(default_factory=dict)
    recount_era: int = 0
    recount_base: Tokens = Tokens(0)
    recounted: Tokens = Tokens(0)

    def used(self) -> Tokens:
        """Return the tokens that are billed or held."""
        held = sum(a.outstanding for a in self.allotments.values())
        return Tokens(self.settled + held)

    def totals(self) -> BudgetTotals:
        """Return the tokens that are spent, and those held by all routers."""
        return BudgetTotals(self.settled, Tokens(self.used() - self.settled))

    def unallotted(self, prepaid_total: Tokens) -> Tokens:
        """Return the tokens that may still be granted."""
        return Tokens(max(0, prepaid_total - self.used()))

    def recount(self, era: int, used_before: Tokens) -> bool:
        """Count tokens as spent that were used before the store was restored.

        Incarnations that live have repeated their changes by then, so what is still
        missing was drawn by others. Any number of routers may do this: the most that
        one of them has seen counts.

        :param era: present era of the store.
        :param used_before: tokens used when the row was read last in an earlier era.
        :return: whether the row was changed.
        """
        is_first = self.recount_era < era
        if is_first:
            self.recount_era, self.recounted = era, Tokens(0)
            self.recount_base = self.used()
        missing = max(0, used_before - self.recount_base - self.recounted)
        self.recounted = Tokens(self.recounted + missing)
        self.settled = Tokens(self.settled + missing)
        return is_first or missing > 0

    def held(self) -> Tokens:
        """Return the tokens held for lost incarnations."""
        held = (a.outstanding for a in self.allotments.values() if a.held)
        return Tokens(sum(held))


class IncarnationRow(msgspec.Struct):
    """Row ``incarnation/<id>``, which each transaction of its router writes.

    :param epoch: incremented when the incarnation is fenced.
    :param sequence: number of the router's last transaction. Its change is the
        heartbeat.
    :param sidecars: sidecars in use. Nothing is sent to a sidecar that is not listed.
    :param caps: bound on the reserved and unsettled tokens at any one sidecar, by
        budget. Contains each budget in whose row the incarnation may have an allotment.
    :param seen_seconds: a time of the store before the row was written.
    :param growth: rate at which each cap grows from that time on, in tokens per second.
    :param lapse_seconds: time after `seen_seconds` at which the caps lapse; 0 when they
        never lapse nor grow.
    :param recoveries: number of transactions that recovered tokens for the fenced
        incarnation. They do not change `sequence`, by which the router recognizes its
        own transactions.
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
        """Return whether an incarnation that had died by then was bound by its caps.

        :param store_seconds: a time of the store at which the incarnation was dead,
            None if unknown.
        """
        if not self.lapse_seconds:
            return True
        if store_seconds is None:
            return False
        return 0 <= store_seconds - self.seen_seconds < self.lapse_seconds

    def cap_at(self, budget: BudgetId, store_seconds: float | None) -> Tokens:
        """Return the cap of a budget, with its growth until `store_seconds`."""
        since = 0.0 if store_seconds is None else store_seconds - self.seen_seconds
        grown = math.ceil(self.growth.get(budget, 0) * since)
        return Tokens(self.caps[budget] + grown)


class Bill(msgspec.Struct, frozen=True):
    """Tokens that one attempt of a request cost."""

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
    """Row ``bill/<key>``: marks the request with this key as billed.

    :param attempt: the attempt that was billed.
    :param incarnation: the incarnation that ran it.
    """

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
    """Return the key of a batch of bills. Keys sort by `sequence`.

    :param sequence: number of the router's transaction, of its last one in a recovery.
    :param recovery: number of the transaction that recovers tokens of the incarnation;
        0 for a transaction of the router itself.
    """
    suffix = f".{recovery:06d}" if recovery else ""
    return f"{ledger_prefix(incarnation)}{sequence:016d}{suffix}"


def bill_key(key: RequestKey) -> str:
    """Return the key of the row that marks a request as billed."""
    return shorten_key(f"bill/{key}")


def is_caller_keyed(key: RequestKey) -> bool:
    """Return whether the caller chose the key.

    Keys made by a router have a ``~`` after the customer's name.
    """
    return not key.partition("/")[2].startswith("~")


RowT = TypeVar("RowT")

#: Rows that routers rewrite often. Ledger rows stay readable without decompression.
COMPRESSED_ROW_TYPES = (BudgetRow, IncarnationRow)


def row_json(value: bytes) -> bytes:
    """Return the JSON text of a row's value, decompressed if necessary.

    :raises msgspec.DecodeError: the compressed value is damaged.
    """
    if not value.startswith(COMPRESSED_FIRST_BYTE):
        return value
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(value, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError(f"cut or above {MAX_DECOMPRESSED_BYTES} bytes")
    return content


def decode_row(row: Row | None, row_type: type[RowT]) -> RowT | None:
    """Return the decoded value of a row, None when the row is absent."""
    if row is None:
        return None
    return decode_json(row_json(row.value), row_type)


def encode_uncompressed(value: msgspec.Struct) -> bytes:
    """Return a row's value as JSON without compression, for comparisons."""
    return msgspec.json.encode(value)


def encode_row(value: msgspec.Struct) -> bytes:
    """Return a row's value as JSON, compressed where that pays."""
    content = encode_uncompressed(value)
    if len(content) < MIN_COMPRESSED_BYTES or not isinstance(
        value, COMPRESSED_ROW_TYPES
    ):
        return content
    return zlib.compress(content, COMPRESSION_LEVEL)
