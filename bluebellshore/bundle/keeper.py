"""Hold the newest verified bundle of a process and serve it to peers."""

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

#: Recent changes kept in memory to serve deltas to peers with older bundles.
MAX_CACHED_CHANGES = 64

#: Number that stands for no bundle; accepted bundles start at 1.
NO_BUNDLE = BundleNumber(0)


class KeyIndex:
    """Index of customers by the SHA-256 of their bearer keys."""

    def __init__(self) -> None:
        self._customer_by_hash: dict[str, CustomerId] = {}

    def rebuild(self, bundle: Bundle) -> None:
        """Replace the index by the customers of `bundle`."""
        self._customer_by_hash = {
            key_hash: customer_id
            for customer_id, customer in bundle.customers.items()
            for key_hash in customer.key_hashes
        }

    def update(self, old: Bundle, new: Bundle, changed: Iterable[CustomerId]) -> None:
        """Update the index for the customers that differ between `old` and `new`.

        :param changed: ids of the customers to update.
        """
        changed = list(changed)
        # Old keys are removed first, as a key may pass to another customer.
        for customer_id in changed:
            for key_hash in _key_hashes_of(old.customers.get(customer_id)):
                self._customer_by_hash.pop(key_hash, None)
        for customer_id in changed:
            for key_hash in _key_hashes_of(new.customers.get(customer_id)):
                self._customer_by_hash[key_hash] = customer_id

    def find(self, bearer: str) -> CustomerId | None:
        """Return the customer of a bearer key, None for an unknown key."""
        digest = hashlib.sha256(bearer.encode("utf-8", "surrogateescape"))
        return self._customer_by_hash.get(digest.hexdigest())


def _key_hashes_of(customer: Customer | None) -> list[str]:
    return customer.key_hashes if customer else []


class BundleKeeper:
    """Hold the verified bundle with the highest number and serve it to peers.

    The number in force never decreases.

    :param verifier: checks the signature and content of each update.
    :param table: table service that :meth:`poll_once` reads; None for a process
        that receives bundles from peers and operators only.
    :param objects: object store with the updates that are too large for a row.
    :ivar current: the bundle in force, None before the first one.
    :ivar signed: the same bundle as signed bytes.
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
        self._subscribers: list[Callable[[Bundle], None]] = []

    @property
    def number(self) -> BundleNumber:
        """Number of the bundle in force, 0 before the first one."""
        return self.current.number if self.current else NO_BUNDLE

    @property
    def advertised_number(self) -> BundleNumber:
        """Number that peers are told, from which they choose the next update.

        This is :attr:`number`, or 0 after a delta that could not be applied, so
        that a peer answers with a snapshot.
        """
        return NO_BUNDLE if self._needs_snapshot else self.number

    def subscribe(self, callback: Callable[[Bundle], None]) -> None:
        """Call `callback` with each new bundle, and at once with a current one."""
        self._subscribers.append(callback)
        if self.current is not None:
            callback(self.current)

    def customer_for_key(self, bearer: str) -> CustomerId | None:
        """Return the customer of a bearer key, None for an unknown key."""
        return self._keys.find(bearer)

    def offer(self, update: bytes) -> bool:
        """Apply an update from a peer or an operator if it is newer and valid.

        :param update: an encoded update.
        :return: True when a bundle with a higher number is now in force; False
            when the update is not newer or is refused. A refusal is logged.
        """
        try:
            header = decode_header(update)
            if header.number <= self.number:
                # A snapshot that is not newer answers the request for one too;
                # another request would return the same snapshot.
                self._needs_snapshot &= header.kind != SNAPSHOT_TAG
                return False
            self._apply_updates([decode_update(update)])
        except BundleError as error:
            eliot.log_message("bundle_refused", problems=list(error.problems))
            return False
        return True

    def update_for(self, number: BundleNumber) -> bytes | None:
        """Return the encoded update for a peer that has bundle `number`.

        :return: None when the peer's bundle is not older than the current one.
        """
        if self.signed is None or number >= self.number:
            return None
        if number not in self._encoded_by_number:
            self._encoded_by_number[number] = self._encode_update_for(number)
        return self._encoded_by_number[number]

    async def poll_once(self) -> None:
        """Read newer updates from the table and apply them.

        :raises PlatformError: the table or object store failed.
        :raises BundleError: a stored update is malformed or not signed by a
            trusted key.
        """
        if self._table is None:
            return
        head, _ = await load_head(self._table)
        if head is None or head.number <= self.number:
            return
        base_number = self.advertised_number
        updates = await load_updates(self._table, self._objects, head, base_number)
        self._apply_updates(updates)

    def _encode_update_for(self, number: BundleNumber) -> bytes:
        """Encode a delta from bundle `number`.

        The update is a snapshot when the changes are no longer cached or the delta
        is not smaller than the payload.
        """
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
        """Return the changes from bundle `number` to the current one.

        The list is empty when some of them are no longer cached.
        """
        chain = []
        while number != self.number:
            changes = self._changes_by_base.get(number)
            if changes is None:
                return []
            chain.append(changes)
            number = changes.number
        return chain

    def _apply_updates(self, updates: list[Update]) -> None:
        """Verify the bundle that `updates` result in and put it in force.

        :raises BundleError: the updates cannot be applied or fail verification.
        """
        last = updates[-1]
        if last.number <= self.number:
            return  # a peer sent a newer bundle during the table read
        self._verifier.check_key(last.key_id)
        has_snapshot = any(isinstance(update, Snapshot) for update in updates)
        try:
            if isinstance(last, Snapshot):
                self._apply_snapshot(last)
            elif has_snapshot:
                self._apply_replayed(updates, last)
            else:
                self._apply_deltas([u for u in updates if isinstance(u, Delta)])
        except BundleError:
            self._needs_snapshot = not has_snapshot
            raise

    def _apply_snapshot(self, update: Snapshot) -> None:
        signed = SignedBundle(
            number=update.number,
            payload=update.payload,
            key_id=update.key_id,
            signature=update.signature,
        )
        bundle = self._verifier.verify(signed)
        self._install_full(bundle, signed)

    def _apply_replayed(self, updates: list[Update], last: Delta) -> None:
        """Apply a stored snapshot with the deltas that follow it."""
        payload = canonical_payload(replay(updates, None))
        signed = SignedBundle(last.number, payload, last.key_id, last.signature)
        self._install_full(self._verifier.verify(signed), signed)

    def _apply_deltas(self, deltas: list[Delta]) -> None:
        """Apply deltas to the current bundle and verify the result."""
        if self.current is None:
            raise BundleError(["delta without a bundle held"], step="bundle.delta")
        chain = [changes for delta in deltas for changes in delta.changes]
        # Skip changes that are already applied, e.g. received from another peer.
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

    def _install_full(self, bundle: Bundle, signed: SignedBundle) -> None:
        chain = [diff_bundles(self.current, bundle)] if self.current else []
        self._keys.rebuild(bundle)
        self._install(bundle, signed, chain)

    def _install(
        self, bundle: Bundle, signed: SignedBundle, chain: list[Changes]
    ) -> None:
        for changes in chain:
            self._changes_by_base[changes.base] = changes
        while len(self._changes_by_base) > MAX_CACHED_CHANGES:
            del self._changes_by_base[min(self._changes_by_base)]
        self._encoded_by_number.clear()
        self._needs_snapshot = False
        self.current = bundle
        self.signed = signed
        for callback in self._subscribers:
            self._call_subscriber(callback, bundle)

    @staticmethod
    def _call_subscriber(callback: Callable[[Bundle], None], bundle: Bundle) -> None:
        try:
            callback(bundle)
        except Exception:
            # An error in one subscriber must not stop the others from getting the
            # new bundle.
            eliot.write_traceback()
