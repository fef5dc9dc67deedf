"""Finds the sidecar that runs a request or holds the answer to it."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from bluebellshore.ids import RequestKey
from bluebellshore.router.peers import Peer
from bluebellshore.wire import link_pb2 as pb

__all__ = ["Lookups"]

#: Maximum wait for replies; the link of a sidecar may be silent.
LOOKUP_TIMEOUT_SECONDS = 0.25


class _PendingLookup:
    """A lookup that was sent to several sidecars.

    :ivar unanswered: addresses of the sidecars that have not replied.
    :ivar holder: resolves to the first sidecar that reports to hold the answer, or to
        None once all have replied that they do not.
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
    """Asks sidecars whether they hold the answer to a request."""

    def __init__(self) -> None:
        self._pending_by_key: defaultdict[str, list[_PendingLookup]] = defaultdict(list)

    async def find_holder(
        self, key: RequestKey, offset: int, lineage: str, peers: list[Peer]
    ) -> Peer | None:
        """Return a sidecar from which the answer to `key` can be read at `offset`.

        :param lineage: the answer that `offset` refers to; empty for any.
        :return: None if no sidecar replied in time that it holds the answer.
        """
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
        """Handle the replies of a sidecar to lookups."""
        for holding in holdings:
            for pending in self._pending_by_key.get(holding.key, ()):
                pending.add_reply(peer, holding)
