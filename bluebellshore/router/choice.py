"""Selects the version and the sidecar for an attempt."""

import asyncio

from bluebellshore.errors import OverloadError
from bluebellshore.ids import IncarnationId, VersionName
from bluebellshore.moves.tracker import MoveTracker
from bluebellshore.router.calls import AFFINITY_PREFIX_BYTES, Call
from bluebellshore.router.peers import Peer, PeerPool
from bluebellshore.router.streams import RouterStream
from bluebellshore.routing.balancer import Balancer

__all__ = ["SidecarChooser"]

RETRY_AFTER_SECONDS = 1.0
#: Maximum wait for a lost link to reconnect when no other sidecar can take a call.
MAX_RECONNECT_WAIT_SECONDS = 1.0
RECONNECT_POLL_SECONDS = 0.02


class SidecarChooser:
    """Selects a connected sidecar by the moves in force and the load balancer.

    A move shifts the traffic of a route from one version to another.
    """

    def __init__(self, pool: PeerPool, move_tracker: MoveTracker, balancer: Balancer):
        self._pool = pool
        self._move_tracker = move_tracker
        self._balancer = balancer

    async def choose(self, call: Call, tried: set[IncarnationId]) -> Peer:
        """Return a sidecar for a call; wait briefly for links that are reconnecting.

        :param tried: incarnations of sidecars on which an attempt of this call failed.
        :raises OverloadError: no sidecar can take the call.
        """
        now = asyncio.get_running_loop().time
        give_up_at = min(now() + MAX_RECONNECT_WAIT_SECONDS, call.deadline)
        while True:
            try:
                return self._choose_now(call, tried)
            except OverloadError:
                if now() >= give_up_at or not self._pool.is_reconnecting():
                    raise
            await asyncio.sleep(RECONNECT_POLL_SECONDS)

    def _choose_now(self, call: Call, tried: set[IncarnationId]) -> Peer:
        versions = self._versions_by_preference(call, tried)
        for version in versions:
            peer = self._choose_for_version(call, version, tried)
            if peer is not None:
                return peer
        raise OverloadError(
            f"no backend server of version {versions[0]!r} can take the request",
            step="choose",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _versions_by_preference(
        self, call: Call, tried: set[IncarnationId]
    ) -> list[VersionName]:
        """Return the versions that may serve a call, the preferred one first.

        During a move, a call that failed on one version is retried on the other.
        """
        preferred = self._move_tracker.version_for(call.route_name, call.key)
        in_use = self._move_tracker.versions_in_use().get(call.route_name, [])
        others = [version for version in in_use if version != preferred]
        if any(self._version_of(sidecar) == preferred for sidecar in tried):
            return [*others, preferred]
        return [preferred, *others]

    def _version_of(self, sidecar: IncarnationId) -> str:
        peer = self._pool.by_incarnation(sidecar)
        return peer.hello.version if peer else ""

    def _choose_for_version(
        self, call: Call, version: VersionName, tried: set[IncarnationId]
    ) -> Peer | None:
        candidates = [
            peer.candidate()
            for peer in self._pool.connected_peers()
            if peer.accepts_requests
            and peer.hello.version == version
            and (call.route_name in peer.hello.routes or not peer.hello.routes)
        ]
        choice = self._balancer.choose(
            candidates,
            key=call.key if call.has_caller_key else None,
            prefix=call.body[:AFFINITY_PREFIX_BYTES] if call.chat else b"",
            exclude=tried,
        )
        return self._pool.by_incarnation(choice.sidecar) if choice else None

    def ran_on_new_version(self, call: Call, stream: RouterStream) -> bool:
        """Return whether an attempt ran on the new version of a move in progress.

        Its retry goes to the old version, which served this traffic before the move.
        """
        in_use = self._move_tracker.versions_in_use().get(call.route_name, [])
        return len(in_use) > 1 and stream.start.version in in_use[1:]
