"""Budgets, bills and orders under failures of routers, sidecars and the platform."""

import asyncio
import unittest
from collections.abc import Sequence

import msgspec

from bluebellshore.load.fleet import wait_until
from bluebellshore.load.process import ManagedProcess
from bluebellshore.load.results import (
    Call,
    CallKind,
    CallOutcome,
    CallResult,
    RetryPolicy,
)
from tests.system import (
    CHAT,
    ORDERS,
    STOCK,
    System,
    findings_of,
    open_system,
    small_bundle,
)

IMPATIENT = RetryPolicy(attempts=1)
STUBBORN = RetryPolicy(attempts=12, delay_seconds=0.2, max_delay_seconds=1.0)


def mixed_calls(prefix: str, count: int) -> list[Call]:
    """Return keyed chats and orders in turn."""
    calls = []
    for number in range(count):
        calls.append(
            Call(CallKind.CHAT, CHAT, f"{prefix} {number}", f"{prefix}-c{number}", 20)
        )
        calls.append(Call(CallKind.ORDER, ORDERS, "cord", f"{prefix}-o{number}"))
    return calls


async def call_all(
    system: System, calls: Sequence[Call], retry: RetryPolicy, urls=None
) -> list[CallResult]:
    """Make calls at once, all on `urls`."""
    caller = system.caller(retry=retry, urls=urls or system.urls)
    return await asyncio.gather(*(caller.call(call) for call in calls))


class MoneyTest(unittest.IsolatedAsyncioTestCase):
    async def test_platform_outage_serves_from_allotments(self):
        bundle = small_bundle()
        async with open_system(bundle=bundle) as system:
            warm = await call_all(system, mixed_calls("warm", 8), STUBBORN)
            await system.set_faults(system.platform, outage=True)
            during = await call_all(system, mixed_calls("during", 6), IMPATIENT)
            for result in during:
                chat = result.call.kind is CallKind.CHAT
                expected = CallOutcome.WHOLE if chat else CallOutcome.NOT_RUN
                self.assertEqual(result.outcome, expected, result)
            await system.set_faults(system.platform, outage=False)
            after = await call_all(system, mixed_calls("after", 6), STUBBORN)
            for result in warm + after:
                self.assertEqual(result.outcome, CallOutcome.WHOLE, result)
            found = await findings_of(system, bundle, warm + during + after)
            self.assertEqual(found, [])

    async def test_lost_answers_of_the_platform(self):
        bundle = small_bundle(budgets={"acme": 6000})
        async with open_system(bundle=bundle, platform={"seed": 7}) as system:
            await system.set_faults(system.platform, lose_answers=0.4)
            results = []
            for round_number in range(4):
                results += await call_all(
                    system, mixed_calls(f"lost{round_number}", 6), STUBBORN
                )
            await system.set_faults(system.platform, lose_answers=0.0)
            found = await findings_of(system, bundle, results)
            self.assertEqual(found, [])
            whole = [r for r in results if r.outcome is CallOutcome.WHOLE]
            self.assertGreaterEqual(len(whole), len(results) // 2, results)

    async def test_all_routers_replaced_at_once(self):
        bundle = small_bundle(budgets={"acme": 20_000})
        async with open_system(
            bundle=bundle, engine={"between_tokens_seconds": 0.02}
        ) as system:
            before = asyncio.ensure_future(
                call_all(system, mixed_calls("before", 8), STUBBORN)
            )
            await asyncio.sleep(0.3)
            old = list(system.routers)
            await asyncio.gather(*(router.kill() for router in old))
            for router in old:
                await self.restart(system, router)
            await system.wait_ready()
            results = await before
            results += await call_all(system, mixed_calls("after", 4), STUBBORN)
            await system.wait_reclaimed()
            found = await findings_of(system, bundle, results)
            self.assertEqual(found, [])
            self.assertTrue(await self.only_live_hold(system))

    async def test_router_and_sidecar_die_together(self):
        bundle = small_bundle(budgets={"acme": 20_000})
        async with open_system(
            bundle=bundle, services=0, engine={"between_tokens_seconds": 0.02}
        ) as system:
            router, other = system.routers
            victim = system.caller(retry=IMPATIENT, urls=[f"http://{router.address}"])
            calls = [
                asyncio.ensure_future(
                    victim.call(Call(CallKind.CHAT, CHAT, f"d {n}", f"d{n}", 400))
                )
                for n in range(6)
            ]
            busy: list[ManagedProcess] = []

            async def all_run() -> bool:
                states = [await system.state(sidecar) for sidecar in system.sidecars]
                running = [state["running"] for state in states]
                busy[:] = [system.sidecars[running.index(max(running))]]
                return sum(running) == len(calls)

            await wait_until(all_run, "all calls to run")
            dead = (await system.state(router))["incarnation"]
            await asyncio.gather(router.kill(), busy[0].kill())
            results = await asyncio.gather(*calls)
            system.routers.remove(router)

            async def held() -> bool:
                allotment = await self.allotment(system, dead)
                return allotment is not None and allotment["held"]

            await wait_until(held, "what nobody can account for to be held")
            allotment = await self.allotment(system, dead)
            self.assertGreater(allotment["outstanding"], 0)
            self.assertLessEqual(allotment["outstanding"], 20_000)
            found = await findings_of(system, bundle, results)
            self.assertEqual(found, [])
            self.assertTrue(other.running)

    async def test_orders_run_at_most_once_when_their_router_dies(self):
        bundle = small_bundle()
        async with open_system(
            bundle=bundle, engines=0, service={"service_seconds": 0.3}
        ) as system:
            router, other = system.routers
            orders = [
                Call(CallKind.ORDER, ORDERS, "cord", f"die-{n}") for n in range(12)
            ]
            first = system.caller(retry=IMPATIENT, urls=[f"http://{router.address}"])
            tries = []
            for number, order in enumerate(orders):
                tries.append(asyncio.ensure_future(first.call(order)))
                if number == 8:
                    await router.kill()
                await asyncio.sleep(0.02)
            await asyncio.gather(*tries)
            system.routers.remove(router)
            results = await call_all(system, orders, STUBBORN)
            counts = await system.control(system.services[0], "/control/executions")
            self.assertLessEqual(max(counts["by_request"].values()), 1)
            for result in results:
                self.assertIn(
                    result.outcome, (CallOutcome.WHOLE, CallOutcome.UNKNOWN), result
                )
            await system.wait_reclaimed()
            found = await findings_of(system, bundle, results)
            self.assertEqual(found, [])
            self.assertTrue(other.running)

    async def test_lost_answer_of_an_order_is_unknown_and_not_run_again(self):
        bundle = small_bundle()
        async with open_system(bundle=bundle, engines=0) as system:
            await system.set_faults(system.services[0], fault="lose_answer", next=1)
            order = Call(CallKind.ORDER, ORDERS, "cord", "lost-1")
            result = (await call_all(system, [order], STUBBORN))[0]
            self.assertEqual(result.outcome, CallOutcome.UNKNOWN, result)
            counts = await system.control(system.services[0], "/control/executions")
            runs = {key: n for key, n in counts["by_request"].items() if key}
            self.assertEqual(runs, {"acme/lost-1": 1})

    async def test_cut_router_spends_only_what_it_holds_while_others_top_up(self):
        bundle = small_bundle(budgets={"acme": 4000})
        async with open_system(bundle=bundle, routers=1, services=0) as system:
            proxy = await system.fleet.start_proxy(system.platform.address)
            cut = await system.fleet.start_router(
                "zone-b",
                **dict(
                    self.settings_of(system.routers[0]),
                    platform_url=f"http://{proxy.address}",
                ),
            )
            system.routers.append(cut)
            await system.wait_ready()
            results = await call_all(
                system,
                [Call(CallKind.CHAT, CHAT, f"w {n}", f"w{n}", 20) for n in range(8)],
                STUBBORN,
            )
            await system.set_faults(proxy, cut=True, refuse_new=True)
            topped = small_bundle(2, budgets={"acme": 9000})
            await system.fleet.submit_bundle(topped)
            results += await call_all(
                system,
                [Call(CallKind.CHAT, CHAT, f"p {n}", f"p{n}", 30) for n in range(150)],
                IMPATIENT,
            )
            whole = sum(r.outcome is CallOutcome.WHOLE for r in results)
            self.assertGreater(whole, 30)
            await system.set_faults(proxy, refuse_new=False)
            found = await findings_of(system, topped, results)
            self.assertEqual(found, [])

    async def test_deferred_work_survives_the_replacement_of_all(self):
        bundle = small_bundle()
        async with open_system(bundle=bundle, services=0) as system:
            caller = system.caller(retry=STUBBORN)
            jobs = [
                asyncio.ensure_future(
                    caller.call(
                        Call(CallKind.DEFERRED, CHAT, f"plan {n}", f"plan-{n}", 40)
                    )
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.2)
            for router in list(system.routers):
                await router.kill()
                await self.restart(system, router)
            results = await asyncio.gather(*jobs)
            for result in results:
                self.assertEqual(result.outcome, CallOutcome.WHOLE, result)
            await system.wait_reclaimed()
            found = await findings_of(system, bundle, results)
            self.assertEqual(found, [])

    async def test_stock_checks_go_on_without_the_platform(self):
        async with open_system(engines=0) as system:
            check = Call(CallKind.STOCK, STOCK, "cord")
            warm = []
            # A router holds tokens of a budget from its first request on.
            for url in system.urls:
                warm += await call_all(system, [check] * 2, STUBBORN, [url])
            await system.set_faults(system.platform, outage=True)
            results = await call_all(system, [check] * 10, IMPATIENT)
            for result in warm + results:
                self.assertEqual(result.outcome, CallOutcome.WHOLE, result)
            await system.set_faults(system.platform, outage=False)
            await system.wait_settled()

    # Parts

    @staticmethod
    def settings_of(router: ManagedProcess) -> dict:
        names = (
            "heartbeat_seconds silent_seconds announce_seconds list_poll_seconds "
            "bundle_poll_seconds duty_seconds settle_seconds reclaim_after_seconds "
            "lease_seconds"
        ).split()
        return {name: getattr(router.settings, name) for name in names}

    @staticmethod
    async def restart(system: System, router: ManagedProcess) -> None:
        """Start a new process at the address of a killed router."""
        started = await system.fleet.replace(
            router.name, graceful=False, listen=router.address
        )
        system.routers[system.routers.index(router)] = started

    @staticmethod
    async def allotment(system: System, incarnation: str) -> dict | None:
        async with system.fleet.platform() as platform:
            rows = await platform.read(["budget/acme-budget"])
        row = msgspec.json.decode(rows["budget/acme-budget"].value)
        return row["allotments"].get(incarnation)

    @staticmethod
    async def only_live_hold(system: System) -> bool:
        live = {(await system.state(r))["incarnation"] for r in system.routers}
        async with system.fleet.platform() as platform:
            rows = await platform.read(["budget/acme-budget"])
        row = msgspec.json.decode(rows["budget/acme-budget"].value)
        return set(row["allotments"]) <= live
