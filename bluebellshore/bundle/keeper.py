"""Keeps the highest verified bundle of a process and spreads it."""

import hashlib
from collections.abc import Callable, Iterable

import eliot

from bluebellshore.bundle.checks import check_changed_entries
from bluebellshore.bundle.delta import (
    SNAPSHOT_TAG,
    Changes,
    Delta,
    Snapshot,
    Update,
    apply_changes,
    canonical_payload,
    decode_header,
    decode_update,
    diff_bundles,
    encode_update,
    snapshot_of,
)
from bluebellshore.bundle.model import Bundle, Customer, SignedBundle
from bluebellshore.bundle.rows import load_head, load_updates, replay
from bluebellshore.bundle.signing import Verifier
from bluebellshore.errors import BundleError
from bluebellshore.ids import BundleNumber, CustomerId
from bluebellshore.store.interface import ObjectStore, TableService

__all__ = ["BundleKeeper"]

#: Changes kept to serve deltas to peers that are behind.
MAX_KEPT_CHANGES = 64

_NONE = BundleNumber(0)


class KeyIndex:
    """Finds customers by the SHA-256 of a bearer key."""

    def __init__(self) -> None:
        self._customer_by_hash: dict[str, CustomerId] = {}

    def rebuild(self, bundle: Bundle) -> None:
        """Index all customers of `bundle`."""
        self._customer_by_hash = {
            key_hash: customer_id
            for customer_id, customer in bundle.customers.items()
            for key_hash in customer.key_hashes
        }

    def update(self, old: Bundle, new: Bundle, changed: Iterable[CustomerId]) -> None:
        """Index again the customers that differ between `old` and `new`."""
        changed = list(changed)
        for customer_id in changed:
            for key_hash in _hashes(old.customers.get(customer_id)):
                self._customer_by_hash.pop(key_hash, None)
        for customer_id in changed:
            for key_hash in _hashes(new.customers.get(customer_id)):
                self._customer_by_hash[key_hash] = customer_id

    def find(self, bearer: str) -> CustomerId | None:
        """Return the customer who holds the key, None when nobody does."""
        digest = hashlib.sha256(bearer.encode("utf-8", "surrogateescape"))
        return self._customer_by_hash.get(digest.hexdigest())


def _hashes(customer: Customer | None) -> list[str]:
    return customer.key_hashes if customer else []


class BundleKeeper:
    """Holds the highest verified bundle; never goes back.

    :param table: where :meth:`poll_once` looks; None for peers only.
    :param objects: holds bundles that are too large for a row.
    """

    def __init__(
        self,
        verifier: Verifier,
        table: TableService | None = None,
        objects: ObjectStore | None = None,
    ):
        self.current: Bundle | None = None
        self.signed: SignedBundle | None = None
        self._verifier = verifier
        self._table = table
        self._objects = objects
        self._needs_snapshot = False
        self._keys = KeyIndex()
        self._changes_by_base: dict[BundleNumber, Changes] = {}
        self._encoded_by_number: dict[BundleNumber, bytes] = {}
        self._callbacks: list[Callable[[Bundle], None]] = []

    @property
    def number(self) -> BundleNumber:
        """Number of the bundle in force, 0 for none."""
        return self.current.number if self.current else _NONE

    @property
    def known_number(self) -> BundleNumber:
        """Number to tell to peers.

        It is 0 after a delta that did not fit, so that the next update is a
        snapshot; else it is :attr:`number`.
        """
        return _NONE if self._needs_snapshot else self.number

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Call `callback` with each new bundle, and now when there is one."""
        self._callbacks.append(callback)
        if self.current is not None:
            callback(self.current)

    def customer_for_key(self, bearer: str) -> CustomerId | None:
        """Return the customer whose callers use the bearer key."""
        return self._keys.find(bearer)

    def offer(self, update: bytes) -> bool:
        """Take an update from a peer or an operator.

        :return: whether a higher bundle is in force now. False also when the
            update is refused, which is logged.
        """
        try:
            header = decode_header(update)
            if header.number <= self.number:
                # A whole bundle came as asked; asking on would only repeat it.
                self._needs_snapshot &= header.kind != SNAPSHOT_TAG
                return False
            self._take([decode_update(update)])
        except BundleError as error:
            eliot.log_message("bundle_refused", problems=list(error.problems))
            return False
        return True

    def update_for(self, number: BundleNumber) -> bytes | None:
        """Return the update for a peer that holds bundle `number`.

        :return: None when the peer is not behind.
        """
        if self.signed is None or number >= self.number:
            return None
        if number not in self._encoded_by_number:
            self._encoded_by_number[number] = self._encode_for(number)
        return self._encoded_by_number[number]

    async def poll_once(self) -> None:
        """Read what is missing from the table.

        :raises PlatformError: the table or object store failed.
        :raises BundleError: what lies there is malformed or not trusted.
        """
        if self._table is None:
            return
        head, _ = await load_head(self._table)
        if head is None or head.number <= self.number:
            return
        held = self.known_number
        updates = await load_updates(self._table, self._objects, head, held)
        self._take(updates)

    def _encode_for(self, number: BundleNumber) -> bytes:
        chain = self._chain_from(number)
        if chain:
            delta = Delta(
                number=self.number,
                base=number,
                key_id=self.signed.key_id,
                signature=self.signed.signature,
                changes=chain,
            )
            encoded = encode_update(delta)
            if len(encoded) < len(self.signed.payload):
                return encoded
        return encode_update(snapshot_of(self.signed))

    def _chain_from(self, number: BundleNumber) -> list[Changes]:
        chain = []
        while number != self.number:
            changes = self._changes_by_base.get(number)
            if changes is None:
                return []
            chain.append(changes)
            number = changes.number
        return chain

    def _take(self, updates: list[Update]) -> None:
        """Verify what `updates` lead to and put it in force."""
        last = updates[-1]
        if last.number <= self.number:
            return  # a peer told of a higher one meanwhile
        self._verifier.check_key(last.key_id)
        whole = any(isinstance(update, Snapshot) for update in updates)
        try:
            if isinstance(last, Snapshot):
                self._take_snapshot(last)
            elif whole:
                self._take_replayed(updates, last)
            else:
                self._take_deltas([u for u in updates if isinstance(u, Delta)])
        except BundleError:
            self._needs_snapshot = not whole
            raise

    def _take_snapshot(self, update: Snapshot) -> None:
        signed = SignedBundle(
            number=update.number,
            payload=update.payload,
            key_id=update.key_id,
            signature=update.signature,
        )
        bundle = self._verifier.verify(signed)
        self._install_whole(bundle, signed)

    def _take_replayed(self, updates: list[Update], last: Delta) -> None:
        payload = canonical_payload(replay(updates, None))
        signed = SignedBundle(last.number, payload, last.key_id, last.signature)
        self._install_whole(self._verifier.verify(signed), signed)

    def _take_deltas(self, deltas: list[Delta]) -> None:
        if self.current is None:
            raise BundleError(["delta without a bundle held"], step="bundle.delta")
        chain = [changes for delta in deltas for changes in delta.changes]
        # Skips what is already held, e.g. taken from another peer meanwhile.
        while chain and chain[0].base < self.number:
            chain.pop(0)
        last = deltas[-1]
        bundle = apply_changes(self.current, chain)
        if bundle.number != last.number or not chain:
            problem = f"number: delta leads to {bundle.number}, not {last.number}"
            raise BundleError([problem], step="bundle.delta")
        signed = SignedBundle(
            number=last.number,
            payload=canonical_payload(bundle),
            key_id=last.key_id,
            signature=last.signature,
        )
        self._verifier.verify_signature(signed)
        problems = check_changed_entries(bundle, chain)
        if problems:
            raise BundleError(problems, step="bundle.verify")
        changed = {key for changes in chain for key in changes.customers}
        self._keys.update(self.current, bundle, changed)
        self._install(bundle, signed, chain)

    def _install_whole(self, bundle: Bundle, signed: SignedBundle) -> None:
        chain = [diff_bundles(self.current, bundle)] if self.current else []
        self._keys.rebuild(bundle)
        self._install(bundle, signed, chain)

    def _install(
        self, bundle: Bundle, signed: SignedBundle, chain: list[Changes]
    ) -> None:
        for changes in chain:
            self._changes_by_base[changes.base] = changes
        while len(self._changes_by_base) > MAX_KEPT_CHANGES:
            del self._changes_by_base[min(self._changes_by_base)]
        self._encoded_by_number.clear()
        self._needs_snapshot = False
        self.current = bundle
        self.signed = signed
        for callback in self._callbacks:
            self._notify(callback, bundle)

    @staticmethod
    def _notify(callback: Callable[[Bundle], None], bundle: Bundle) -> None:
        try:
            callback(bundle)
        except Exception:
            # One faulty subscriber must not keep the others on the old bundle.
            eliot.write_traceback()
