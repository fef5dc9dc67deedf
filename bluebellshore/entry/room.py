"""Keeps an entry router's load within what its instance's link carries."""

import asyncio
import statistics
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.room_messages import read_member, write_member
from bluebellshore.errors import OverloadError
from bluebellshore.ids import CustomerId, InstanceId, ZoneName
from bluebellshore.routing.connection_shedding import choose_connections
from bluebellshore.routing.instance_room import InstanceRoom, RoomSample, RoomState
from bluebellshore.routing.instance_rotation import (
    MEMORY_SECONDS,
    RETURN_LOAD,
    InstanceRotation,
    ZoneMember,
)
from bluebellshore.routing.link_admission import LinkAdmission
from bluebellshore.traffic import TrafficCounter
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["CallerLink", "RoomController"]

STEP = "room.link"
REASON = "this instance's link is full"
SAMPLE_SECONDS = 0.15
#: Time from leaving the rotation until connections are shed. By then the platform has
#: noticed, and gives their clients to other instances.
SHED_DELAY_SECONDS = 2.4
#: Pause between two choices of connections, over which their traffic is measured.
SHED_INTERVAL_SECONDS = 0.6
#: Retry-After of a refused request while the platform would send it here again.
RETRY_LATER_SECONDS = 1.0
#: Pause between two log lines while the room isn't ample.
LOG_INTERVAL_SECONDS = 2.0


class CallerLink(Protocol):
    """A caller's connection.

    :ivar traffic: its bytes.
    :ivar customer: customer of its last request; None for none.
    :ivar closes_after_answer: whether it is closed after its present or next answer.
    """

    traffic: TrafficCounter
    customer: CustomerId | None
    closes_after_answer: bool


class RoomController:
    """Measures the room, tells it to peers, and moves load away while it is short.

    Does nothing where the settings name no bandwidth.

    :param sources: returns the bytes of each kind of traffic by its name.
    :param round_trips: returns the times of the last exchanges with peers, in seconds.
    :param connections: returns the callers' open connections.
    :ivar refused_count: requests refused since the start.
    :ivar shed_count: connections that were told to close since the start.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        zone: ZoneName,
        link_bytes_per_second: float,
        *,
        sources: Callable[[], dict[str, TrafficCounter]],
        round_trips: Callable[[], Iterable[float]],
        connections: Callable[[], Iterable[CallerLink]],
        log: DecisionLog | None = None,
    ):
        self._instance_id = instance_id
        self._zone = zone
        self._is_limited = link_bytes_per_second > 0
        self._room = InstanceRoom(link_bytes_per_second)
        self._rotation = InstanceRotation()
        self._admission = LinkAdmission()
        self._sources = sources
        self._round_trips = round_trips
        self._connections = connections
        self._log = log or silent_log()
        self._members_by_id: dict[InstanceId, ZoneMember] = {}
        #: Bytes of each connection when connections were last chosen.
        self._bytes_by_connection: dict[CallerLink, int] = {}
        self._shed_at = 0.0
        self._logged_at = 0.0
        self._logged_bytes: dict[str, tuple[int, int]] = {}
        self.refused_count = 0
        self.shed_count = 0

    @property
    def is_out(self) -> bool:
        """Whether this instance is to get no new connections."""
        return self._rotation.is_out

    @property
    def load(self) -> float:
        """Share of the link in use."""
        return self._room.load

    def write(self, state: pb.PeerState) -> None:
        """Add this instance's room to a message to a peer."""
        if self._is_limited:
            write_member(self._own(time.monotonic()), self._zone, state)

    def merge(self, state: pb.PeerState) -> None:
        """Note the room that a peer's message tells."""
        member = read_member(state, self._zone, time.monotonic())
        if member is not None and member.instance_id != self._instance_id:
            self._members_by_id[member.instance_id] = member

    def refusal(self, body_bytes: int | None) -> OverloadError | None:
        """Return the error with which to refuse a request; None to serve it.

        :param body_bytes: stated size of its body; None when unknown.
        """
        room = self._room
        if room.state is not RoomState.FULL:
            return None
        now = time.monotonic()
        capacity, elsewhere = room.capacity_bytes_per_second, self._others_have_room()
        if not (room.is_late and elsewhere) and self._admission.admits(
            body_bytes or 0, capacity, now
        ):
            return None
        self.refused_count += 1
        return OverloadError(
            REASON,
            step=STEP,
            retry_after=self._retry_after(now),
            inputs={"load": round(room.load, 3), "body_bytes": body_bytes},
        )

    async def run(self) -> None:
        """Take samples and decide until cancelled."""
        while self._is_limited:
            self._update(time.monotonic())
            await asyncio.sleep(SAMPLE_SECONDS)

    def snapshot(self) -> dict[str, object]:
        """Return the state for a state dump."""
        return {
            "state": self._room.state.value,
            "load": round(self._room.load, 3),
            "capacity_bytes_per_second": self._room.capacity_bytes_per_second,
            "out": self.is_out,
            "refused": self.refused_count,
            "shed": self.shed_count,
            "members": {
                member.instance_id: {
                    "load": round(member.load, 3),
                    "state": member.state.value,
                    "out": member.out,
                }
                for member in self._members_by_id.values()
            },
        }

    def _update(self, now: float) -> None:
        sources = self._sources().values()
        round_trips = list(self._round_trips())
        state = self._room.state
        self._room.add(
            RoomSample(
                now,
                sum(source.received_bytes for source in sources),
                sum(source.sent_bytes for source in sources),
                statistics.median(round_trips) if round_trips else None,
            )
        )
        self._forget(now)
        was_out = self.is_out
        is_out = self._rotation.update(
            self._own(now), self._members_by_id.values(), now
        )
        if is_out and not was_out:
            self._shed_at = now + SHED_DELAY_SECONDS
            self._bytes_by_connection = self._read_bytes()
        elif is_out and now >= self._shed_at:
            self._shed_at = now + SHED_INTERVAL_SECONDS
            self._shed()
        elif was_out and not is_out:
            self._bytes_by_connection.clear()
        if (state, was_out) != (self._room.state, is_out) or (
            self._room.state is not RoomState.AMPLE
            and now - self._logged_at >= LOG_INTERVAL_SECONDS
        ):
            self._log_room(now)

    def _forget(self, now: float) -> None:
        for member in list(self._members_by_id.values()):
            if now - member.seen_at > MEMORY_SECONDS:
                del self._members_by_id[member.instance_id]

    def _own(self, now: float) -> ZoneMember:
        room = self._room
        return ZoneMember(
            self._instance_id,
            room.load,
            room.capacity_bytes_per_second,
            room.state,
            self.is_out,
            now,
        )

    def _retry_after(self, now: float) -> float:
        """Return after how many seconds a repeat may be served.

        Until the platform has noticed that this instance left, it comes here again.
        """
        out_since = self._rotation.out_since
        if out_since is None:
            return RETRY_LATER_SECONDS
        return max(0.0, out_since + SHED_DELAY_SECONDS - now)

    def _others_have_room(self) -> bool:
        return any(
            member.state is RoomState.AMPLE and not member.out
            for member in self._members_by_id.values()
        )

    def _shed(self) -> None:
        """Have connections closed that carry what is above the load to return at."""
        total_by_connection = self._read_bytes()
        bytes_by_customer: dict[CustomerId | None, dict[CallerLink, int]] = {}
        for connection, total in total_by_connection.items():
            if not connection.closes_after_answer:
                size = total - self._bytes_by_connection.get(connection, 0)
                connections = bytes_by_customer.setdefault(connection.customer, {})
                connections[connection] = size
        self._bytes_by_connection = total_by_connection
        if self._room.load <= RETURN_LOAD:
            return
        share = 1 - RETURN_LOAD / self._room.load
        for connection in choose_connections(bytes_by_customer, share):
            connection.closes_after_answer = True
            self.shed_count += 1

    def _read_bytes(self) -> dict[CallerLink, int]:
        return {
            connection: connection.traffic.received_bytes
            + connection.traffic.sent_bytes
            for connection in self._connections()
        }

    def _log_room(self, now: float) -> None:
        seconds = now - self._logged_at
        self._logged_at = now
        kilobytes = {}
        for name, counter in self._sources().items():
            received, sent = self._logged_bytes.get(name, (0, 0))
            self._logged_bytes[name] = (counter.received_bytes, counter.sent_bytes)
            kilobytes[name] = (
                f"{(counter.received_bytes - received) / 1000:.0f}"
                f"/{(counter.sent_bytes - sent) / 1000:.0f}"
            )
        self._log.notice(
            "room",
            f"the link's room is {self._room.state.value}",
            load=round(self._room.load, 3),
            capacity=round(self._room.capacity_bytes_per_second),
            queueing=self._room.is_queueing,
            round_trip_seconds=self._room.round_trip_seconds,
            out=self.is_out,
            seconds=round(seconds, 2),
            received_sent_kilobytes=kilobytes,
            refused=self.refused_count,
            shed=self.shed_count,
            members=len(self._members_by_id),
            members_out=sum(m.out for m in self._members_by_id.values()),
        )
