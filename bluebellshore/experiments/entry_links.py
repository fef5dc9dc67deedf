"""What routers of an experiment reach: the in-memory table and each other."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from bluebellshore.budget.lent import LoanReport
from bluebellshore.entry.budgets import CustomerBudgets
from bluebellshore.entry.loan_server import LoanServer
from bluebellshore.entry.loans import Loan
from bluebellshore.errors import LinkError, PlatformUnavailableError
from bluebellshore.ids import IncarnationId, Tokens
from bluebellshore.store.interface import Row, StoreTime, Write
from bluebellshore.store.memory import MemoryTable

__all__ = ["MemoryPeers", "StoreClient", "StoreState"]

READ_SECONDS = 0.004
WRITE_SECONDS = 0.009
PEER_SECONDS = 0.0025
#: Bytes of a call or answer for each byte of a row's value: values go as base64.
BYTES_PER_VALUE_BYTE = 4 / 3
#: Bits a second of a slow link, and the time of a transaction in a busy part.
LINK_BITS = 5e6
PART_SECONDS = 0.005


class StoreState(msgspec.Struct):
    """The store, as all routers find it.

    :param out: whether it answers nobody.
    :param slow: whether links are slow, and transactions wait for one another.
    :param free_at: when the last transaction that came is through.
    """

    out: bool = False
    slow: bool = False
    free_at: float = 0.0


class StoreClient:
    """A router's way to the table."""

    def __init__(self, table: MemoryTable, store: StoreState):
        self.time: StoreTime | None = None
        self._table = table
        self._store = store

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows."""
        await self._reach(READ_SECONDS)
        rows = await self._table.read(keys)
        await self._carry(row.value for row in rows.values())
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows by prefix."""
        await self._reach(READ_SECONDS)
        rows = await self._table.scan(prefix, after, limit)
        await self._carry(row.value for row in rows)
        return rows

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply writes."""
        await self._carry(write.value or b"" for write in writes)
        waited = 0.0
        if self._store.slow:
            now = asyncio.get_running_loop().time()
            self._store.free_at = max(now, self._store.free_at) + PART_SECONDS
            waited = self._store.free_at - now
        await self._reach(WRITE_SECONDS + waited)
        return await self._table.transact(writes)

    async def _carry(self, values: Iterable[bytes]) -> None:
        """Wait while values pass the link."""
        if self._store.slow:
            size = BYTES_PER_VALUE_BYTE * sum(map(len, values))
            await asyncio.sleep(8 * size / LINK_BITS)

    async def _reach(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        if self._store.out:
            raise PlatformUnavailableError("out", step="experiment")
        now = asyncio.get_running_loop().time()
        self.time = StoreTime(now, now, now)


class MemoryPeers:
    """Other routers at some milliseconds' distance."""

    def __init__(self, routers: Mapping[int, CustomerBudgets]):
        self._routers = routers
        self.calls = 0
        self.loans = 0

    def _loan_server(self, peer: IncarnationId) -> LoanServer:
        for router in self._routers.values():
            if router.incarnation == peer:
                return router.loan_server
        raise LinkError("gone", step="experiment")

    def reachable(self) -> list[IncarnationId]:
        """Return the live incarnations."""
        return [router.incarnation for router in self._routers.values()]

    def serving(self) -> list[IncarnationId]:
        """Return the live incarnations; none of them shuts down."""
        return self.reachable()

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Ask a router for a loan."""
        self.calls += 1
        self.loans += 1
        await asyncio.sleep(PEER_SECONDS)
        return await self._loan_server(peer).obtain(loan)

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Tell a router what a loan cost."""
        self.calls += 1
        await asyncio.sleep(PEER_SECONDS)
        self._loan_server(peer).repay(name, tokens)

    async def report(self, report: LoanReport) -> None:
        """Tell a router what a loan cost so far."""
        self.calls += 1
        await asyncio.sleep(PEER_SECONDS)
        self._loan_server(report.lender).report(report)
