"""Finds the sidecar that holds the answer to a request."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from bluebellshore.ids import RequestKey
from bluebellshore.router.peers import Peer
from bluebellshore.wire import link_pb2 as pb

__all__ = ["Lookups"]

#: Longest wait for sidecars that do not reply; their links may be silent.
LOOKUP_TIMEOUT_SECONDS = 0.25


class _PendingLookup:
    """One question to several sidecars.

    :ivar holder: the first sidecar that holds the answer, None when none does.
    """

    def __init__(self, lookup: pb.Lookup, peers: Iterable[Peer]):
        self.lookup = lookup
        self.unanswered = {peer.address for peer in peers}
        self.holder: asyncio.Future[Peer | None]
        self.holder = asyncio.get_running_loop().create_future()

    def add_reply(self, peer: Peer, holding: pb.Holding) -> None:
        if self.holder.done() or holding.offset != self.lookup.offset:
            return
        self.unanswered.discard(peer.address)
        if holding.held:
            self.holder.set_result(peer)
        elif not self.unanswered:
            self.holder.set_result(None)


class Lookups:
    """Asks sidecars whether they hold an answer."""

    def __init__(self) -> None:
        self._pending_by_key: defaultdict[str, list[_PendingLookup]] = defaultdict(list)

    async def find_holder(
        self, key: RequestKey, offset: int, lineage: str, peers: list[Peer]
    ) -> Peer | None:
        """Return the one of `peers` that holds the answer to `key` from `offset`."""
        if not peers:
            return None
        pending = _PendingLookup(
            pb.Lookup(key=key, offset=offset, lineage=lineage), peers
        )
        pending_lookups = self._pending_by_key[key]
        pending_lookups.append(pending)
        for peer in peers:
            peer.frame.lookups.append(pending.lookup)
            peer.notify()
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_SECONDS):
                return await pending.holder
        except TimeoutError:
            return None
        finally:
            pending_lookups.remove(pending)
            if not pending_lookups:
                self._pending_by_key.pop(key, None)

    def handle_replies(self, peer: Peer, holdings: Iterable[pb.Holding]) -> None:
        """Take replies of a sidecar."""
        for holding in holdings:
            for pending in self._pending_by_key.get(holding.key, ()):
                pending.add_reply(peer, holding)
