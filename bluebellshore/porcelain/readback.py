"""Read-back: roll-out, moves, budgets and state of processes."""

import asyncio
from collections.abc import Iterable, Sequence

import msgspec

from bluebellshore.budget.rows import BudgetRow, budget_key, row_json
from bluebellshore.bundle.model import Move
from bluebellshore.bundle.store import BundleStore
from bluebellshore.decoding import decode_json
from bluebellshore.errors import BluebellshoreError, PlatformError
from bluebellshore.ids import BudgetId, BundleNumber, MoveId, Tokens
from bluebellshore.moves.rows import MoveRow, MoveState, move_key
from bluebellshore.porcelain.clients import open_platform, request
from bluebellshore.settings import OperatorSettings
from bluebellshore.store import TableInstances, TableService
from bluebellshore.store.interface import Instance, InstanceRole, Row

__all__ = [
    "BudgetView",
    "MoveView",
    "Rollout",
    "RolloutView",
    "dump_state",
    "show_budgets",
    "show_moves",
    "show_rollout",
]

ROWS_PER_READ = 500


class RolloutView(msgspec.Struct):
    """Number in force on one instance.

    :param number: None when it is not known, for `problem`.
    """

    instance_id: str
    role: str
    number: BundleNumber | None
    problem: str = ""


class Rollout(msgspec.Struct):
    """Newest accepted bundle and what is in force where."""

    accepted: BundleNumber
    comment: str
    instances: list[RolloutView]


class MoveView(msgspec.Struct):
    """A move and how it stands.

    :param step: share of the new version; None before the first step.
    :param deadline: Unix time in seconds.
    :param decided_at: Unix time in seconds; 0 while it goes on.
    """

    move: MoveId
    route: str
    old: str
    new: str
    deadline: float
    state: MoveState = MoveState.MOVING
    step: float | None = None
    reason: str = ""
    decided_at: float = 0.0


class BudgetView(msgspec.Struct):
    """A budget and where its tokens are.

    :param allotted: tokens granted to routers and not settled, `held` included.
    :param held: tokens of lost incarnations that nobody can account for.
    """

    budget: BudgetId
    prepaid: Tokens
    settled: Tokens
    allotted: Tokens
    held: Tokens
    left: Tokens


class _SidecarState(msgspec.Struct):
    instance_id: str
    bundle_number: int = 0


class _RouterState(msgspec.Struct):
    bundle_number: int = 0
    sidecars: list[_SidecarState] = []


def budget_view(budget: BudgetId, prepaid: Tokens, value: bytes | None) -> BudgetView:
    """Return the view of a budget.

    :param value: the budget's row; None when it has none.
    """
    row = _decode(value or b"{}", BudgetRow, budget_key(budget))
    allotted = sum(a.outstanding for a in row.allotments.values())
    return BudgetView(
        budget=budget,
        prepaid=prepaid,
        settled=row.settled,
        allotted=Tokens(allotted),
        held=row.held(),
        left=row.unallotted(prepaid),
    )


def move_view(move_id: MoveId, move: Move, value: bytes | None) -> MoveView:
    """Return the view of a move.

    :param value: the move's row; None when it has none.
    """
    view = MoveView(move_id, move.route, move.old, move.new, move.deadline)
    row = _decode(value, MoveRow, f"move/{move_id}") if value else None
    if row is not None and row.matches(move):
        view.state, view.step = row.state, row.step
        view.reason, view.decided_at = row.reason, row.decided_at
    return view


def _decode(value: bytes, kind: type, peer: str) -> object:
    try:
        return decode_json(row_json(value), kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformError(str(error), step="row.decode", peer=peer) from None


async def dump_state(url: str, token: str) -> bytes:
    """Return the state of the process whose operator port is at `url`, as JSON."""
    base = url if "://" in url else f"http://{url}"
    base = base.rstrip("/").removesuffix("/state")
    return await request("GET", f"{base}/state", token, "state.dump")


async def show_rollout(settings: OperatorSettings) -> Rollout:
    """Return which bundle is in force on which instance."""
    async with open_platform(settings.platform_url) as platform:
        head = await BundleStore(platform, platform).head()
        instances = await TableInstances(platform).fetch()
    routers = [i for i in instances if i.role is InstanceRole.ROUTER]
    answers = await asyncio.gather(
        *(_router_rollout(router, settings.operator_token) for router in routers)
    )
    views_by_id = {
        i.instance_id: RolloutView(i.instance_id, i.role.value, None, "not seen")
        for i in instances
    }
    for view in (view for views in answers for view in views):
        known = views_by_id.get(view.instance_id)
        if known is None or (known.number or -1) <= (view.number or -1):
            views_by_id[view.instance_id] = view
    number = head.number if head else BundleNumber(0)
    comment = head.comment if head else ""
    views = sorted(views_by_id.values(), key=lambda v: (v.role, v.instance_id))
    return Rollout(number, comment, views)


async def _router_rollout(router: Instance, token: str) -> list[RolloutView]:
    role = InstanceRole.ROUTER.value
    try:
        answer = await dump_state(router.address, token)
        state = decode_json(answer, _RouterState)
    except BluebellshoreError as error:
        return [RolloutView(router.instance_id, role, None, error.message)]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return [RolloutView(router.instance_id, role, None, str(error))]
    views = [RolloutView(router.instance_id, role, BundleNumber(state.bundle_number))]
    for sidecar in state.sidecars:
        number = BundleNumber(sidecar.bundle_number)
        view = RolloutView(sidecar.instance_id, InstanceRole.SIDECAR.value, number)
        views.append(view)
    return views


async def _read_rows(platform: TableService, keys: Sequence[str]) -> dict[str, Row]:
    rows_by_key: dict[str, Row] = {}
    for start in range(0, len(keys), ROWS_PER_READ):
        rows_by_key |= await platform.read(keys[start : start + ROWS_PER_READ])
    return rows_by_key


async def show_moves(settings: OperatorSettings) -> list[MoveView]:
    """Return the moves of the newest accepted bundle and how they stand."""
    async with open_platform(settings.platform_url) as platform:
        head = await BundleStore(platform, platform).head()
        moves = head.moves if head else {}
        rows_by_key = await _read_rows(platform, [move_key(m) for m in moves])
    return [
        move_view(move_id, move, _value(rows_by_key, move_key(move_id)))
        for move_id, move in sorted(moves.items())
    ]


async def show_budgets(
    settings: OperatorSettings, only: Iterable[str] = ()
) -> list[BudgetView]:
    """Return the budgets of the newest accepted bundle, or those of `only`."""
    wanted = set(only)
    async with open_platform(settings.platform_url) as platform:
        head = await BundleStore(platform, platform).head()
        budgets = head.budgets if head else {}
        unknown = sorted(wanted - budgets.keys())
        if unknown:
            message = f"no such budget: {', '.join(unknown)}"
            raise BluebellshoreError(message, step="budget.show")
        ids = sorted(wanted or budgets)
        rows_by_key = await _read_rows(platform, [budget_key(b) for b in ids])
    return [
        budget_view(
            budget_id,
            budgets[budget_id].prepaid_total,
            _value(rows_by_key, budget_key(budget_id)),
        )
        for budget_id in ids
    ]


def _value(rows_by_key: dict[str, Row], key: str) -> bytes | None:
    row = rows_by_key.get(key)
    return row.value if row else None
