"""Tokens that routers lend each other while the store can't move them.

A lender reserves the tokens as if it ran the request itself. Whatever happens to
either router, they count in the lender's allotment: as spent, until the borrower says
what was used.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

import msgspec

from bluebellshore.budget import Accountant
from bluebellshore.budget.direct import DIRECT_SIDECAR, DirectAccounts
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.errors import BluebellshoreError
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, Tokens
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["Borrower", "Lender", "Loan", "RouterPeers", "make_receipt"]

#: Routers asked for one request, one after the other.
MAX_ASKED = 6
#: Time for which a router that had too little is not asked for as much again.
SHORT_SECONDS = 0.3
#: Longest time that a router may take to lend.
ASK_SECONDS = 0.25
#: Time after which a loan that was not repaid counts as spent; no request is as long.
LOAN_SECONDS = 120.0
#: Tries to repay, and the pause between them.
REPAY_TRIES = 8
REPAY_SECONDS = 0.5


class Loan(msgspec.Struct, frozen=True):
    """Tokens asked of another router.

    :param name: never used for another loan.
    :param tokens: at most wanted.
    """

    name: str
    customer: CustomerId
    tokens: Tokens


class RouterPeers(Protocol):
    """Other routers, as this one reaches them."""

    def reachable(self) -> Collection[IncarnationId]:
        """Return the incarnations that seem to be there."""

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Have a router :meth:`Lender.lend`.

        :raises BluebellshoreError: no answer came; it may have lent.
        """

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Have a router :meth:`Lender.repay`.

        :raises BluebellshoreError: no answer came.
        """


def make_receipt(
    incarnation: IncarnationId, name: str, customer: CustomerId, tokens: int, bound: int
) -> Receipt:
    """Return a receipt for at most `bound` tokens."""
    return Receipt(
        attempt=name,
        key=f"{customer}/~{name}",
        incarnation=incarnation,
        customer=customer,
        budget=customer,
        tokens=max(0, min(tokens, bound)),
        reserved_tokens=bound,
    )


class _Lent(msgspec.Struct, frozen=True):
    customer: CustomerId
    tokens: Tokens
    at: float


class Lender:
    """Lends free tokens of this router's allotments."""

    def __init__(
        self,
        accountant: Accountant,
        book: DirectAccounts,
        own: IncarnationId,
        clock: Callable[[], float],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self.lent_tokens = 0
        self._book = book
        self._accountant = accountant
        self._own = own
        self._clock = clock
        self._lent_by_name: dict[str, _Lent] = {}
        self._withdrawn_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._lent_by_name)

    def lend(self, loan: Loan) -> Tokens:
        """Reserve what is free, at most what is asked. :return: the tokens lent."""
        known = self._lent_by_name.get(loan.name)
        if known is not None:
            return known.tokens
        if loan.name in self._withdrawn_at:
            return Tokens(0)
        budget = BudgetId(loan.customer)
        available = self._book.available(budget, self._clock())
        tokens = Tokens(min(loan.tokens, available))
        name = f"~{loan.name}"
        if tokens <= 0 or not self._accountant.try_reserve(
            budget, name, DIRECT_SIDECAR, tokens
        ):
            return Tokens(0)
        self._lent_by_name[loan.name] = _Lent(loan.customer, tokens, self._clock())
        self.lent_tokens += tokens
        return tokens

    def repay(self, name: str, tokens: Tokens) -> None:
        """Count what a loan cost; comes before the loan too, when that is late."""
        lent = self._lent_by_name.pop(name, None)
        if lent is None:
            self._withdrawn_at[name] = self._clock()
            return
        receipt = make_receipt(
            self._own, f"~{name}", lent.customer, tokens, lent.tokens
        )
        self._accountant.settle(receipt)

    def expire(self) -> None:
        """Count loans as spent that were not repaid in time."""
        before = self._clock() - LOAN_SECONDS
        for name, lent in list(self._lent_by_name.items()):
            if lent.at < before:
                self._log.notice(
                    "loan",
                    "not repaid in time, counted as spent",
                    loan=name,
                    customer=lent.customer,
                    tokens=lent.tokens,
                )
                self.repay(name, lent.tokens)
        for name, at in list(self._withdrawn_at.items()):
            if at < before:
                del self._withdrawn_at[name]


class Borrower:
    """Asks other routers for tokens, those first that held most when last seen.

    :param held: what each router held of a customer's budget when last seen.
    """

    def __init__(
        self,
        peers: RouterPeers,
        own: IncarnationId,
        held: Callable[[CustomerId], Mapping[IncarnationId, Tokens]],
        clock: Callable[[], float],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self.borrowed_tokens = 0
        self._held = held
        self._peers = peers
        self._own = own
        self._clock = clock
        self._short: dict[tuple[IncarnationId, CustomerId], float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def borrow(self, loan: Loan) -> dict[IncarnationId, Tokens]:
        """Borrow from as many routers as it takes.

        :return: tokens by lender; nothing when together they lent too little.
        """
        parts: dict[IncarnationId, Tokens] = {}
        try:
            await self._gather(loan, parts)
        except BaseException:
            self._give_back(loan, parts)
            raise
        if sum(parts.values()) < loan.tokens:
            self._give_back(loan, parts)
            return {}
        self.borrowed_tokens += loan.tokens
        return parts

    async def _gather(self, loan: Loan, parts: dict[IncarnationId, Tokens]) -> None:
        lacking = loan.tokens
        for peer in self._candidates(loan.customer):
            part = msgspec.structs.replace(loan, tokens=Tokens(lacking))
            lent = await self._ask(peer, part)
            if lent < lacking:
                self._short[peer, loan.customer] = self._clock() + SHORT_SECONDS
            if lent:
                parts[peer] = lent
                lacking -= lent
            if lacking <= 0:
                return

    def _give_back(self, loan: Loan, parts: dict[IncarnationId, Tokens]) -> None:
        for peer in parts:
            self.repay(peer, loan.name, Tokens(0))

    def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Tell a lender what its loan cost, in the background."""
        task = asyncio.ensure_future(self._repay(peer, name, tokens))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, seconds: float) -> None:
        """Wait a while until lenders know what their loans cost."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)
        for task in list(self._tasks):
            task.cancel()

    def _candidates(self, customer: CustomerId) -> list[IncarnationId]:
        now = self._clock()
        held = self._held(customer)
        peers = [
            peer
            for peer in self._peers.reachable()
            if peer != self._own and self._short.get((peer, customer), 0.0) <= now
        ]
        peers.sort(key=lambda peer: (-held.get(peer, 0), peer))
        return peers[:MAX_ASKED]

    async def _ask(self, peer: IncarnationId, loan: Loan) -> Tokens:
        try:
            async with asyncio.timeout(ASK_SECONDS):
                lent = await self._peers.borrow(peer, loan)
        except (TimeoutError, BluebellshoreError) as error:
            reason = str(error) or type(error).__name__
            self._log.notice("loan", reason, peer=peer, loan=loan.name)
            self.repay(peer, loan.name, Tokens(0))
            return Tokens(0)
        except asyncio.CancelledError:
            self.repay(peer, loan.name, Tokens(0))
            raise
        return Tokens(min(lent, loan.tokens))

    async def _repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        for _ in range(REPAY_TRIES):
            try:
                async with asyncio.timeout(ASK_SECONDS):
                    await self._peers.repay(peer, name, tokens)
                return
            except (TimeoutError, BluebellshoreError) as error:
                reason = str(error) or type(error).__name__
            await asyncio.sleep(REPAY_SECONDS)
        self._log.notice("loan", reason, peer=peer, loan=name, not_repaid=tokens)
