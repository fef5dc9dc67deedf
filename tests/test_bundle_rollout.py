"""Tests with real processes: bundles reach all, and no older one replaces a newer."""

import unittest

from bluebellshore.bundle import sign_bundle
from bluebellshore.bundle.delta import encode_update, snapshot_of
from bluebellshore.bundle.model import Bundle
from bluebellshore.load.fleet import wait_until
from bluebellshore.load.process import ManagedProcess
from tests.system import AMPLE_TOKENS, System, open_system, small_bundle

#: Longer than any test, so that a process polls the table only when it starts.
NO_POLL = {"bundle_poll_seconds": 300.0}


def top_up_bundle(number: int) -> Bundle:
    return small_bundle(number, budgets={"acme": AMPLE_TOKENS + number})


async def offer(system: System, process: ManagedProcess, bundle: Bundle) -> bool:
    """Offer a bundle to one process; return whether the process put it in force."""
    fleet = system.fleet
    update = encode_update(snapshot_of(sign_bundle(bundle, fleet.private_key)))
    url = f"http://{process.operator_address}/bundle"
    headers = {"Authorization": f"Bearer {fleet.operator_token}"}
    async with fleet.session.post(url, data=update, headers=headers) as response:
        return (await response.json())["new"]


async def numbers_in_force(system: System) -> set[int]:
    """Return the different bundle numbers in force on all processes."""
    processes = [*system.routers, *system.sidecars]
    return {(await system.state(process))["bundle_number"] for process in processes}


async def wait_until_in_force(system: System, number: int) -> None:
    async def everywhere() -> bool:
        return await numbers_in_force(system) == {number}

    await wait_until(everywhere, f"bundle {number} everywhere")


class RolloutTest(unittest.IsolatedAsyncioTestCase):
    async def test_spreads_from_one_process_over_links_alone(self):
        async with open_system(router=NO_POLL) as system:
            await system.fleet.submit_bundle(top_up_bundle(2))
            self.assertEqual(await numbers_in_force(system), {1})
            self.assertTrue(await offer(system, system.sidecars[-1], top_up_bundle(2)))
            await wait_until_in_force(system, 2)

    async def test_spreads_while_the_platform_is_out(self):
        async with open_system() as system:
            await system.fleet.submit_bundle(top_up_bundle(2))
            await system.set_faults(system.platform, outage=True)
            await offer(system, system.routers[0], top_up_bundle(2))
            await wait_until_in_force(system, 2)

    async def test_paused_router_catches_up_and_nothing_goes_back(self):
        async with open_system() as system:
            paused = system.routers[1]
            paused.freeze()
            for number in range(2, 6):
                await system.fleet.submit_bundle(top_up_bundle(number))
            others = System(system.fleet, system.platform)
            others.routers, others.sidecars = system.routers[:1], system.sidecars
            await wait_until_in_force(others, 5)
            paused.wake()
            await wait_until_in_force(system, 5)
            for process in (*system.routers, *system.sidecars):
                self.assertFalse(await offer(system, process, top_up_bundle(4)))
            self.assertEqual(await numbers_in_force(system), {5})
