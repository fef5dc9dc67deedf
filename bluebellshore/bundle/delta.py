"""Differences between bundles, and the updates that carry them.

An update is what peers send to each other and what the table service stores: a
snapshot with a full signed bundle or a delta with the changes since an older one.
"""

from collections.abc import Mapping, Sequence
from typing import TypeVar

import msgspec

from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Move,
    Release,
    Route,
    SignedBundle,
    Version,
)
from bluebellshore.errors import BundleError
from bluebellshore.ids import (
    BudgetId,
    BundleNumber,
    CustomerId,
    MoveId,
    RouteName,
    VersionName,
)

__all__ = [
    "SECTIONS",
    "SNAPSHOT_TAG",
    "Changes",
    "Delta",
    "Snapshot",
    "Update",
    "UpdateHeader",
    "apply_changes",
    "canonical_payload",
    "decode_header",
    "decode_update",
    "diff_bundles",
    "encode_update",
    "snapshot_of",
]

#: Fields of a bundle that map ids to entries.
SECTIONS = ("customers", "budgets", "versions", "routes", "moves")

SNAPSHOT_TAG = "snapshot"

_Key = TypeVar("_Key")
_Entry = TypeVar("_Entry")


class Changes(msgspec.Struct, frozen=True, omit_defaults=True):
    """Difference between the bundles `base` and `number`.

    Each section has the added and changed entries; None stands for a removed one.

    :param base: number of the bundle that the changes apply to.
    :param number: number of the resulting bundle.
    :param parent: parent of the resulting bundle.
    :param releases: all releases of the resulting bundle; None when unchanged.
    """

    base: BundleNumber
    number: BundleNumber
    parent: BundleNumber
    comment: str = ""
    customers: dict[CustomerId, Customer | None] = {}
    budgets: dict[BudgetId, Budget | None] = {}
    versions: dict[VersionName, Version | None] = {}
    routes: dict[RouteName, Route | None] = {}
    moves: dict[MoveId, Move | None] = {}
    releases: list[Release] | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag=SNAPSHOT_TAG):
    """Update with a full signed bundle, for a receiver with any older one or none."""

    number: BundleNumber
    payload: bytes
    key_id: str
    signature: bytes


class Delta(msgspec.Struct, frozen=True, array_like=True, tag="delta"):
    """Update with the changes since bundle `base`, for a receiver that has it.

    :param signature: signature of the full payload of the resulting bundle.
    :param changes: changes to apply in order; the first applies to `base`.
    """

    number: BundleNumber
    base: BundleNumber
    key_id: str
    signature: bytes
    changes: list[Changes]


Update = Snapshot | Delta


class UpdateHeader(msgspec.Struct, frozen=True, array_like=True):
    """First fields of an update, which are the same for both kinds.

    :param kind: tag of the update's class, e.g. :data:`SNAPSHOT_TAG`.
    """

    kind: str
    number: BundleNumber


_update_decoder = msgspec.msgpack.Decoder(Update)
_header_decoder = msgspec.msgpack.Decoder(UpdateHeader)
_payload_encoder = msgspec.json.Encoder(order="deterministic")


def canonical_payload(bundle: Bundle) -> bytes:
    """Return the bytes to sign: JSON with sorted keys and without default values."""
    return _payload_encoder.encode(bundle)


def encode_update(update: Update) -> bytes:
    """Encode an update for a peer or a row of the table service."""
    return msgspec.msgpack.encode(update)


def decode_update(data: bytes) -> Update:
    """Decode an update.

    :raises BundleError: the bytes are malformed.
    """
    try:
        return _update_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BundleError([str(error)], step="bundle.decode") from None


def decode_header(data: bytes) -> UpdateHeader:
    """Decode the first fields of an update without building the rest.

    :raises BundleError: the bytes are malformed.
    """
    try:
        return _header_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BundleError([str(error)], step="bundle.decode") from None


def snapshot_of(signed: SignedBundle) -> Snapshot:
    """Return the snapshot of a signed bundle."""
    return Snapshot(
        number=signed.number,
        payload=signed.payload,
        key_id=signed.key_id,
        signature=signed.signature,
    )


def _diff_entries(
    old: Mapping[_Key, _Entry], new: Mapping[_Key, _Entry]
) -> dict[_Key, _Entry | None]:
    changed: dict[_Key, _Entry | None] = {
        key: entry
        for key, entry in new.items()
        if (old_entry := old.get(key)) is not entry and old_entry != entry
    }
    changed.update({key: None for key in old.keys() - new.keys()})
    return changed


def diff_bundles(old: Bundle, new: Bundle) -> Changes:
    """Return the changes that turn `old` into `new`."""
    sections = {
        name: _diff_entries(getattr(old, name), getattr(new, name)) for name in SECTIONS
    }
    return Changes(
        base=old.number,
        number=new.number,
        parent=new.parent,
        comment=new.comment,
        releases=None if old.releases == new.releases else new.releases,
        **sections,
    )


def _apply_entries(
    entries: Mapping[_Key, _Entry], changed: Mapping[_Key, _Entry | None]
) -> dict[_Key, _Entry]:
    merged = dict(entries)
    for key, entry in changed.items():
        if entry is None:
            merged.pop(key, None)
        else:
            merged[key] = entry
    return merged


def _apply_single(bundle: Bundle, changes: Changes) -> Bundle:
    if changes.base != bundle.number or changes.number <= changes.base:
        numbers = f"{changes.base} to {changes.number}"
        problem = f"number: delta from {numbers}, held is {bundle.number}"
        raise BundleError([problem], step="bundle.delta")
    sections = {
        name: _apply_entries(getattr(bundle, name), changed)
        if (changed := getattr(changes, name))
        else getattr(bundle, name)
        for name in SECTIONS
    }
    return Bundle(
        number=changes.number,
        parent=changes.parent,
        comment=changes.comment,
        releases=bundle.releases if changes.releases is None else changes.releases,
        **sections,
    )


def apply_changes(bundle: Bundle, chain: Sequence[Changes]) -> Bundle:
    """Return `bundle` after all changes of `chain`, in order.

    :raises BundleError: the base of a change is not the bundle before it.
    """
    for changes in chain:
        bundle = _apply_single(bundle, changes)
    return bundle
