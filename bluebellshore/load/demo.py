"""Demonstration: a chat, an order that is retried, a spent budget and a move."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec

from bluebellshore.bundle.model import Bundle, Criteria, Move
from bluebellshore.ids import BundleNumber, MoveId
from bluebellshore.load.audit import (
    Execution,
    Finding,
    RunRecord,
    audit,
    read_accounts,
)
from bluebellshore.load.caller import Caller, expected_answer_of
from bluebellshore.load.fleet import wait_until
from bluebellshore.load.local import (
    CHAT,
    DEMO_CUSTOMER,
    DEMO_KEY,
    MODEL,
    NEW_VERSION,
    OLD_VERSION,
    ORDERS,
    SMALL_CUSTOMER,
    SMALL_KEY,
    LocalSystem,
    local_bundle,
    open_local,
)
from bluebellshore.load.results import Call, CallKind, CallOutcome, CallResult
from bluebellshore.moves.rows import MoveRow, MoveState, decode_row, move_key
from bluebellshore.runtime import Role
from bluebellshore.standin.engine import EngineStandin

__all__ = ["DemoReport", "run_demo"]

MOVE = MoveId("demo-move")
MOVE_SECONDS = 45.0
MOVE_STEPS = [0.5, 1.0]
STEP_SECONDS = 1.0
MIN_REQUESTS = 5
SMALL_CALLS = 20


class DemoReport(msgspec.Struct):
    """What the demonstration showed.

    :param budgets: tokens settled by budget.
    :param findings: what the audit found wrong; empty when all is well.
    """

    chat: CallResult
    order: CallResult
    order_retried: CallResult
    order_executions: int
    small_answered: int
    refusal: CallResult
    move: MoveRow
    budgets: dict[str, int]
    bills: int
    findings: list[Finding]

    @property
    def passed(self) -> bool:
        """Whether everything went as it must."""
        same = self.order.text == self.order_retried.text
        return (
            self.chat.outcome is CallOutcome.WHOLE
            and same
            and self.order_executions == 1
            and self.refusal.status == 402
            and self.move.state is MoveState.DONE
            and not self.findings
        )


class _Demo:
    """The steps of the demonstration, with all results they had."""

    def __init__(self, system: LocalSystem):
        self.system = system
        self.results: list[CallResult] = []
        self.bundle: Bundle = local_bundle()
        self._demo = self._caller(DEMO_CUSTOMER, DEMO_KEY)
        self._small = self._caller(SMALL_CUSTOMER, SMALL_KEY)
        self._number = 0

    async def chat(self, text: str, max_tokens: int = 24) -> CallResult:
        """Stream a chat as the demo customer."""
        return await self._call(self._demo, self._chat_call(text, max_tokens))

    async def order_twice(self) -> tuple[CallResult, CallResult]:
        """Place an order and send it again with the same key."""
        call = Call(CallKind.ORDER, ORDERS, "cord-4m", key="order-1")
        first = await self._call(self._demo, call)
        return first, await self._demo.call(call)

    async def exhaust(self) -> tuple[int, CallResult]:
        """Call as the small customer until its budget refuses."""
        for answered in range(SMALL_CALLS):
            call = self._chat_call(f"question {answered}", 32)
            result = await self._call(self._small, call)
            if result.outcome is not CallOutcome.WHOLE:
                return answered, result
        return SMALL_CALLS, result

    async def move(self) -> MoveRow:
        """Move the chat route to the new version under traffic."""
        self.bundle = _bundle_with_move(self.bundle)
        await self.system.submit(self.bundle)
        async with self._traffic():
            return await wait_until(self._decided_move, "the end of the move")

    async def audit(self) -> tuple[RunRecord, list[Finding]]:
        """Wait until all is billed and compare."""
        record = await wait_until(self._settled_record, "settlement of all bills")
        return record, audit(record)

    def executions(self) -> list[Execution]:
        """Return all runs on the backend servers."""
        return [
            Execution(key)
            for backend in (*self.system.engines, self.system.service)
            for key, count in _counts(backend).items()
            for _ in range(count)
        ]

    @asynccontextmanager
    async def _traffic(self) -> AsyncIterator[None]:
        async def go_on() -> None:
            while True:
                await self.chat(f"question {self._number}", 8)

        workers = [asyncio.create_task(go_on()) for _ in range(4)]
        try:
            yield
        finally:
            for worker in workers:
                worker.cancel()
            await asyncio.gather(*workers, return_exceptions=True)

    async def _decided_move(self) -> MoveRow | None:
        row = (await self.system.platform.read([move_key(MOVE)])).get(move_key(MOVE))
        decoded = decode_row(row) if row else None
        if decoded is None or decoded.state is MoveState.MOVING:
            return None
        return decoded

    async def _settled_record(self) -> RunRecord | None:
        platform = self.system.platform
        budgets, bills = await read_accounts(platform, self.bundle.budgets)
        billed = {bill.key for bill in bills}
        delivered = {
            f"{result.customer}/{result.call.key}"
            for result in self.results
            if result.outcome is CallOutcome.WHOLE
        }
        if not delivered <= billed:
            return None
        return RunRecord(self.bundle, budgets, bills, self.results, self.executions())

    async def _call(self, caller: Caller, call: Call) -> CallResult:
        result = await caller.call(call)
        self.results.append(result)
        return result

    def _caller(self, customer: str, key: str) -> Caller:
        system = self.system
        return Caller(
            system.session,
            system.urls,
            key,
            customer=customer,
            rng=random.Random(1),
        )

    def _chat_call(self, text: str, max_tokens: int) -> Call:
        self._number += 1
        key = f"chat-{self._number}"
        call = Call(CallKind.CHAT, CHAT, text, key=key, max_tokens=max_tokens)
        return msgspec.structs.replace(call, expected=expected_answer_of(call, MODEL))


def _bundle_with_move(bundle: Bundle) -> Bundle:
    move = Move(
        route=CHAT,
        old=OLD_VERSION,
        new=NEW_VERSION,
        deadline=time.time() + MOVE_SECONDS,
        steps=MOVE_STEPS,
        step_seconds=STEP_SECONDS,
        criteria=Criteria(min_requests=MIN_REQUESTS, max_latency_ratio=5.0),
    )
    return msgspec.structs.replace(
        bundle,
        number=BundleNumber(bundle.number + 1),
        parent=bundle.number,
        moves={MOVE: move},
        comment="move the chat route to the new version",
    )


def _counts(backend: Role) -> dict[str, int]:
    """Return the runs of a backend server by request key."""
    if isinstance(backend, EngineStandin):
        return backend.engine.stats.executions_by_request
    return backend.executions.by_request


async def run_demo(say: Callable[[str], None]) -> DemoReport:
    """Run the demonstration.

    :param say: takes lines that tell what happens.
    """
    async with open_local() as system:
        demo = _Demo(system)
        say(f"A system with {len(system.routers)} routers serves {system.urls[0]}")
        chat = await demo.chat("Which cord path does the dial need?")
        say(f"Chat, streamed: {chat.text!r}, {chat.usage_tokens} tokens")
        order, retried = await demo.order_twice()
        executions = _counts(system.service)[f"{DEMO_CUSTOMER}/{order.call.key}"]
        say(f"Order, sent twice with one key: same answer {order.text == retried.text}")
        say(f"  executions at the orders service: {executions}")
        answered, refusal = await demo.exhaust()
        say(
            f"Small budget: {answered} answers, then {refusal.status}: {refusal.reason}"
        )
        say(f"  run: {refusal.outcome.value}")
        move = await demo.move()
        say(f"Move {move.old} -> {move.new}: {move.state.value} {move.reason}")
        record, findings = await demo.audit()
        settled = {name: row.settled for name, row in record.budgets_by_id.items()}
        say(f"Ledger: {len(record.bills)} bills, settled {settled}")
        say(f"Audit: {len(findings)} findings")
        for finding in findings:
            say(f"  {finding.kind.value} {finding.subject}: {finding.detail}")
        return DemoReport(
            chat=chat,
            order=order,
            order_retried=retried,
            order_executions=executions,
            small_answered=answered,
            refusal=refusal,
            move=move,
            budgets=settled,
            bills=len(record.bills),
            findings=findings,
        )
