"""Accept bundles and write them to the platform's table service."""

import time
from collections.abc import Callable

import msgspec

from bluebellshore.bundle.delta import (
    Delta,
    Snapshot,
    Update,
    diff_bundles,
    encode_update,
    snapshot_of,
)
from bluebellshore.bundle.model import Bundle, SignedBundle
from bluebellshore.bundle.rows import (
    HEAD_KEY,
    SNAPSHOT_INTERVAL,
    Head,
    decode_row,
    load_head,
    load_updates,
    make_row,
    replay,
    update_key,
)
from bluebellshore.bundle.signing import Verifier, decode_payload
from bluebellshore.bundle.succession import (
    MoveOutcome,
    OutcomeDecoder,
    check_succession,
    decode_outcome,
    describe_difference,
)
from bluebellshore.errors import (
    BundleConflictError,
    BundleError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.ids import BundleNumber, MoveId
from bluebellshore.store.interface import (
    ABSENT,
    ObjectStore,
    Row,
    TableService,
    Write,
)

__all__ = ["BundleStore"]


class BundleStore:
    """The sequence of accepted bundles in the table service.

    Conditional writes make sure that each number is accepted once.

    :param table: table service that has the rows of bundles and moves.
    :param objects: object store for updates that are too large for a row.
    :param verifier: checks signature and content of a bundle before it is accepted;
        None only decodes it.
    :param decode_outcome: decodes the outcome of a move from the value of its row.
    :param clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        *,
        verifier: Verifier | None = None,
        decode_outcome: OutcomeDecoder = decode_outcome,
        clock: Callable[[], float] = time.time,
    ):
        self._table = table
        self._objects = objects
        self._verifier = verifier
        self._decode_outcome = decode_outcome
        self._clock = clock

    async def head(self) -> Bundle | None:
        """Return the newest accepted bundle, None before the first one.

        The signature is not verified.
        """
        head, _ = await load_head(self._table)
        return await self._load_bundle(head) if head else None

    async def accept(self, signed: SignedBundle) -> None:
        """Accept `signed` as the newest bundle; the call is idempotent.

        :raises BundleConflictError: another bundle was accepted with this number.
        :raises BundleError: the bundle is not valid; lists every problem.
        :raises PlatformUnavailableError: the write may or may not have taken
            effect; call again with the same signed bundle.
        """
        bundle = self._verify_or_decode(signed)
        head, version = await load_head(self._table)
        parent = await self._load_bundle(head) if head else None
        if parent is not None and parent.number >= bundle.number:
            await self._check_same_as_accepted(signed, bundle, parent)
            return
        newest = parent.number if parent else 0
        if bundle.parent != newest:
            problem = f"parent: {bundle.parent}, the newest accepted bundle is {newest}"
            raise BundleError([problem], step="bundle.accept")
        outcomes = await self._read_outcomes(parent, bundle)
        problems = check_succession(parent, bundle, outcomes, self._clock())
        if problems:
            raise BundleError(problems, step="bundle.accept")
        writes = await self._make_writes(signed, bundle, parent, head, version)
        await self._commit(writes, signed, bundle)

    async def update(self, number: BundleNumber) -> bytes:
        """Return the encoded update of an accepted bundle, to offer to a router.

        :raises BundleError: there is no bundle with this number.
        """
        head = Head(number, number)
        updates = await load_updates(self._table, self._objects, head, 0)
        return encode_update(updates[-1])

    def _verify_or_decode(self, signed: SignedBundle) -> Bundle:
        if self._verifier is not None:
            return self._verifier.verify(signed)
        return decode_payload(signed.payload)

    async def _load_bundle(self, head: Head) -> Bundle:
        updates = await load_updates(self._table, self._objects, head, 0)
        return replay(updates, None)

    async def _read_outcomes(
        self, parent: Bundle | None, bundle: Bundle
    ) -> dict[MoveId, MoveOutcome]:
        move_ids = set(bundle.moves)
        if parent is not None:
            move_ids |= set(parent.moves)
        rows_by_key = await self._table.read([f"move/{m}" for m in sorted(move_ids)])
        return {
            move_id: self._decode_outcome(rows_by_key[f"move/{move_id}"].value)
            for move_id in move_ids
            if f"move/{move_id}" in rows_by_key
        }

    async def _make_writes(
        self,
        signed: SignedBundle,
        bundle: Bundle,
        parent: Bundle | None,
        head: Head | None,
        head_version: int,
    ) -> list[Write]:
        update: Update = snapshot_of(signed)
        snapshot = bundle.number
        if parent and head and bundle.number - head.snapshot < SNAPSHOT_INTERVAL:
            update = Delta(
                number=bundle.number,
                base=parent.number,
                key_id=signed.key_id,
                signature=signed.signature,
                changes=[diff_bundles(parent, bundle)],
            )
            snapshot = head.snapshot
        value = await make_row(signed, update, bundle.comment, self._objects)
        new_head = msgspec.msgpack.encode(Head(bundle.number, snapshot))
        return [
            Write(HEAD_KEY, head_version, new_head),
            Write(update_key(bundle.number), ABSENT, value),
        ]

    async def _commit(
        self, writes: list[Write], signed: SignedBundle, bundle: Bundle
    ) -> None:
        try:
            await self._table.transact(writes)
        except (TransactionConflictError, PlatformUnavailableError) as error:
            # The write may have taken effect although its response was lost.
            head, _ = await load_head(self._table)
            if head is None or head.number < bundle.number:
                raise error
            newest = await self._load_bundle(head)
            await self._check_same_as_accepted(signed, bundle, newest)

    async def _check_same_as_accepted(
        self, signed: SignedBundle, bundle: Bundle, newest: Bundle
    ) -> None:
        """Return when `signed` itself is the bundle accepted with its number.

        :raises BundleConflictError: another bundle was accepted with the number.
        """
        key = update_key(bundle.number)
        rows_by_key = await self._table.read([key])
        row = rows_by_key.get(key)
        if row is None or not await self._has_signature_of(row, signed):
            raise self._conflict_error(row, bundle, newest)

    async def _has_signature_of(self, row: Row, signed: SignedBundle) -> bool:
        head = Head(signed.number, signed.number)
        updates = await load_updates(self._table, self._objects, head, 0)
        update: Snapshot | Delta = updates[-1]
        return update.signature == signed.signature

    @staticmethod
    def _conflict_error(
        row: Row | None, bundle: Bundle, newest: Bundle
    ) -> BundleConflictError:
        problems = [f"number: {bundle.number} is taken"]
        if row is not None:
            stored = decode_row(row.value, row.key)
            winner = f"bundle {bundle.number} of key {stored.key_id}"
            problems = [f"number: {winner} was accepted first: {stored.comment!r}"]
        problems.append(f"the newest accepted bundle is {newest.number}")
        problems += describe_difference(bundle, newest)
        return BundleConflictError(problems, step="bundle.accept")
