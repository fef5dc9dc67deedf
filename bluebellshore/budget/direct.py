"""Accounting for routers that reach backend servers without sidecars."""

from bluebellshore.budget.book import AllotmentBook, Limits
from bluebellshore.ids import BudgetId, IncarnationId, Tokens

__all__ = ["DIRECT", "DirectBook"]

#: Stands, where rows name sidecars, for all backend servers that a router reaches
#: itself. Nobody there can tell what a dead router spent.
DIRECT = IncarnationId("direct")


class DirectBook(AllotmentBook):
    """Book whose whole allotments may be spent between two transactions.

    A lower cap would return more of a dead router's tokens, but what lies above it
    can't be spent while the platform is out and can be drawn at once while it is
    not: holding it would gain nothing. The size of allotments bounds the loss.
    """

    def lists(self, sidecar: IncarnationId) -> bool:
        """Whether anything may be sent: always."""
        return True

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Whether more of the budget may be sent: as far as it is held."""
        return True

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
    ) -> Limits:
        """Return caps that never lie below what is held; they are not lowered."""
        caps = {}
        for budget, account in self.accounts_by_budget.items():
            held = account.outstanding + grants.get(budget, 0)
            caps[budget] = Tokens(max(account.cap, held))
        return Limits([DIRECT], caps)
