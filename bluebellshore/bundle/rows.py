"""Rows and objects that store accepted bundles.

The row ``bundle/head`` has the number of the newest accepted bundle. The row
``bundle/<number>`` has the update to that bundle: a delta from its parent or, every
:data:`SNAPSHOT_INTERVAL` bundles, a snapshot of the full bundle. An update that is
too large for a row is stored as an object, and the row has the object's name.
"""

import hashlib

import msgspec

from bluebellshore.bundle.delta import (
    Delta,
    Snapshot,
    Update,
    apply_changes,
    decode_update,
    encode_update,
)
from bluebellshore.bundle.model import Bundle, SignedBundle
from bluebellshore.bundle.signing import decode_payload
from bluebellshore.decoding import decode_msgpack
from bluebellshore.errors import BundleError
from bluebellshore.ids import BundleNumber
from bluebellshore.store.interface import (
    MAX_ROW_BYTES,
    ObjectStore,
    TableService,
)

__all__ = [
    "HEAD_KEY",
    "Head",
    "StoredUpdate",
    "load_head",
    "load_updates",
    "replay",
    "make_row",
    "update_key",
]

HEAD_KEY = "bundle/head"
#: Bundles from one stored snapshot to the next.
SNAPSHOT_INTERVAL = 32
#: Room in a row for what it has besides the update: key id, comment, encoding.
ROW_OVERHEAD_BYTES = 8 * 1024


class Head(msgspec.Struct, frozen=True):
    """Value of the head row.

    :param number: number of the newest accepted bundle.
    :param snapshot: number of the newest bundle that is stored as a snapshot.
    """

    number: BundleNumber
    snapshot: BundleNumber


class StoredUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a bundle's row.

    :param key_id: id of the key that signed the bundle.
    :param update: the encoded update; empty when it is stored as an object.
    :param object_name: object that stores the update; empty when the row does.
    """

    key_id: str
    comment: str = ""
    update: bytes = b""
    object_name: str = ""


def update_key(number: int) -> str:
    """Return the key of a bundle's row."""
    return f"bundle/{number}"


async def make_row(
    signed: SignedBundle, update: Update, comment: str, objects: ObjectStore
) -> bytes:
    """Return the value of the row for `update`.

    An update that is too large for a row is written to `objects` first.
    """
    data = encode_update(update)
    if len(data) <= MAX_ROW_BYTES - ROW_OVERHEAD_BYTES:
        row = StoredUpdate(key_id=signed.key_id, comment=comment, update=data)
    else:
        digest = hashlib.sha256(data).hexdigest()
        name = f"bundle-{signed.number}-{digest[:32]}"
        await objects.put(name, data)
        row = StoredUpdate(key_id=signed.key_id, comment=comment, object_name=name)
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes, key: str) -> StoredUpdate:
    """Decode a bundle's row.

    :raises BundleError: the row is malformed.
    """
    try:
        return decode_msgpack(value, StoredUpdate)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BundleError([f"{key}: {error}"], step="bundle.read") from None


async def load_head(table: TableService) -> tuple[Head | None, int]:
    """Return the head and the version of its row; None and 0 when it is absent.

    :raises BundleError: the row is malformed.
    """
    rows_by_key = await table.read([HEAD_KEY])
    row = rows_by_key.get(HEAD_KEY)
    if row is None:
        return None, 0
    try:
        return decode_msgpack(row.value, Head), row.version
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BundleError([f"{HEAD_KEY}: {error}"], step="bundle.read") from None


async def _fetch_update(
    row: StoredUpdate, key: str, objects: ObjectStore | None
) -> Update:
    data: bytes | None = row.update
    if row.object_name:
        data = await objects.get(row.object_name) if objects else None
        if data is None:
            problem = f"{key}: object {row.object_name!r} is missing"
            raise BundleError([problem], step="bundle.read")
    return decode_update(data or b"")


async def load_updates(
    table: TableService,
    objects: ObjectStore | None,
    head: Head,
    base_number: int,
) -> list[Update]:
    """Read the updates that lead from bundle `base_number` to `head`.

    The first one is a snapshot when the newest snapshot is after `base_number`.

    :param base_number: number of the bundle to start from, 0 for none.
    :raises BundleError: a row or object is missing or malformed.
    """
    if not 0 < head.snapshot <= head.number < head.snapshot + SNAPSHOT_INTERVAL:
        raise BundleError([f"{HEAD_KEY}: {head}"], step="bundle.read")
    first = base_number + 1 if base_number >= head.snapshot else head.snapshot
    keys = [update_key(number) for number in range(first, head.number + 1)]
    rows_by_key = await table.read(keys)
    updates = []
    for key in keys:
        if key not in rows_by_key:
            raise BundleError([f"{key}: row is missing"], step="bundle.read")
        row = decode_row(rows_by_key[key].value, key)
        updates.append(await _fetch_update(row, key, objects))
    return updates


def replay(updates: list[Update], base: Bundle | None) -> Bundle | None:
    """Apply `updates` in order without verifying signatures.

    :param base: bundle to start from; None when the first update is a snapshot.
    :raises BundleError: an update is malformed or does not apply.
    """
    bundle = base
    for update in updates:
        if isinstance(update, Snapshot):
            bundle = decode_payload(update.payload)
        elif isinstance(update, Delta) and bundle is not None:
            bundle = apply_changes(bundle, update.changes)
        else:
            raise BundleError(["no snapshot to start from"], step="bundle.read")
    return bundle
