"""Announce a router or sidecar process in the platform's instance list."""

import asyncio
from collections.abc import Callable

import eliot

from bluebellshore.cancellation import is_cancelling
from bluebellshore.errors import PlatformError
from bluebellshore.ids import InstanceId, ZoneName
from bluebellshore.settings import RoleSettings
from bluebellshore.store import (
    Instance,
    InstanceList,
    InstanceRole,
    InstanceState,
)

__all__ = ["Announcer"]


class Announcer:
    """The writer of one process's entry in the instance list, which keeps it fresh.

    :param address: returns the ``host:port`` on which the process serves; the
        setting ``announce_address`` takes precedence.
    :param is_leaving: returns whether the process is draining before it stops.
    """

    def __init__(
        self,
        instances: InstanceList,
        role: InstanceRole,
        settings: RoleSettings,
        *,
        address: Callable[[], str],
        is_leaving: Callable[[], bool],
    ):
        self._instances = instances
        self._role = role
        self._settings = settings
        self._address = address
        self._is_leaving = is_leaving

    async def announce(self) -> None:
        """Write the entry once.

        A platform failure is logged and not raised; :meth:`run` tries again at the
        next announcement.
        """
        state = InstanceState.LEAVING if self._is_leaving() else InstanceState.LIVE
        entry = Instance(
            instance_id=InstanceId(self._settings.instance_id),
            role=self._role,
            zone=ZoneName(self._settings.zone),
            address=self._settings.announce_address or self._address(),
            state=state,
        )
        try:
            await self._instances.announce(entry)
        except PlatformError as error:
            eliot.log_message("announce_failed", step=error.step, peer=error.peer)

    async def run(self) -> None:
        """Write the entry every ``announce_seconds`` until cancelled."""
        while True:
            try:
                await self.announce()
            except (Exception, asyncio.CancelledError):
                if is_cancelling():
                    raise
                eliot.write_traceback()
            await asyncio.sleep(self._settings.announce_seconds)
