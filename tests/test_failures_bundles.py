"""Bundles under races, outages and replacement, with real processes."""

import asyncio
import unittest

import msgspec

from bluebellshore.bundle.delta import encode_update, snapshot_of
from bluebellshore.bundle.signing import generate_keypair, sign_bundle
from bluebellshore.bundle.store import BundleStore
from bluebellshore.errors import BundleConflictError, BundleError
from bluebellshore.load.results import Call, CallKind, CallOutcome
from bluebellshore.store.instances import INSTANCE_TABLE
from tests.system import CHAT, open_system, small_bundle


class BundleTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_bundle_stays_in_force_through_an_outage(self):
        async with open_system(
            services=0, router={"bundle_poll_seconds": 60}
        ) as system:
            first, second = system.routers
            topped = small_bundle(2, budgets={"acme": 77_000_000})
            await system.fleet.submit_bundle(topped)
            await system.set_faults(system.platform, outage=True)
            update = self.update(system, topped)
            self.assertEqual(await self.offer(system, first, update), 200)
            await system.wait_ready(2)
            older = self.update(system, small_bundle(1))
            self.assertEqual(await self.offer(system, second, older), 200)
            late = system.sidecars[0]
            await system.fleet.replace(late.name, graceful=False)
            system.sidecars[0] = system.fleet.by_name[late.name]
            await asyncio.sleep(0.5)
            for router in system.routers:
                self.assertEqual((await system.state(router))["bundle_number"], 2)
            await system.set_faults(system.platform, outage=False)
            await system.wait_ready(2)

    async def test_router_started_in_an_outage_learns_the_bundle_from_peers(self):
        async with open_system(services=0) as system:
            topped = small_bundle(2, budgets={"acme": 20_000_000})
            await system.fleet.submit_bundle(topped)
            await system.wait_ready(2)
            await system.set_faults(
                system.platform, outage=True, spared_tables=[INSTANCE_TABLE]
            )
            router = await system.fleet.replace(system.routers[1].name, graceful=False)
            system.routers[1] = router
            await system.wait_ready(2)
            await system.set_faults(system.platform, outage=False)
            caller = system.caller(urls=[f"http://{router.address}"])
            result = await caller.call(Call(CallKind.CHAT, CHAT, "late", "late"))
            self.assertEqual(result.outcome, CallOutcome.WHOLE, result)

    async def test_wrongly_signed_bundle_never_comes_into_force(self):
        async with open_system(services=0) as system:
            private, _ = generate_keypair()
            forged = sign_bundle(small_bundle(9, {"acme": 10**9}), private)
            trusted = sign_bundle(small_bundle(8), system.fleet.private_key)
            changed = msgspec.structs.replace(trusted, signature=forged.signature)
            for signed in (forged, changed):
                update = encode_update(snapshot_of(signed))
                for process in (system.routers[0], system.sidecars[0]):
                    await self.offer(system, process, update)
            await self.offer(system, system.routers[0], b"\xff\x00 not a bundle")
            await asyncio.sleep(0.6)
            for process in system.routers + system.sidecars:
                self.assertEqual((await system.state(process))["bundle_number"], 1)

    async def test_operators_race_and_one_wins(self):
        async with open_system(engines=1, services=0) as system:
            async with system.fleet.platform() as platform:
                store = BundleStore(platform, platform)
                await system.set_faults(system.platform, lose_answers=0.3)
                rivals = [
                    sign_bundle(
                        small_bundle(2, budgets={"acme": 20_000_000 + number}),
                        system.fleet.private_key,
                    )
                    for number in range(4)
                ]
                outcomes = await asyncio.gather(
                    *(store.accept(rival) for rival in rivals), return_exceptions=True
                )
                await system.set_faults(system.platform, lose_answers=0.0)
                retried = [
                    await asyncio.gather(store.accept(rival), return_exceptions=True)
                    for rival in rivals
                ]
            winners = [r for (r,) in retried if r is None]
            conflicts = [r for (r,) in retried if isinstance(r, BundleConflictError)]
            self.assertEqual((len(winners), len(conflicts)), (1, 3), outcomes)
            for conflict in conflicts:
                self.assertIn("2", str(conflict))
            await system.wait_ready(2)

    async def test_falling_budget_is_refused_with_its_reason(self):
        async with open_system(engines=1, services=0) as system:
            with self.assertRaises(BundleError) as caught:
                await system.fleet.submit_bundle(small_bundle(2, budgets={"acme": 5}))
            self.assertTrue(
                any("prepaid_total" in problem for problem in caught.exception.problems)
            )

    @staticmethod
    def update(system, bundle) -> bytes:
        return encode_update(snapshot_of(sign_bundle(bundle, system.fleet.private_key)))

    @staticmethod
    async def offer(system, process, update: bytes) -> int:
        url = f"http://{process.operator_address}/bundle"
        headers = {"Authorization": f"Bearer {system.fleet.operator_token}"}
        async with system.fleet.session.post(
            url, data=update, headers=headers
        ) as response:
            return response.status
