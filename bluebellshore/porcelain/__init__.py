"""What operators do: keys, bundles, and read-back of moves, budgets and state."""

from bluebellshore.porcelain.bundles import (
    KeyView,
    Submitted,
    check_file,
    generate_key,
    sign_file,
    submit_file,
)
from bluebellshore.porcelain.checks import check_settings
from bluebellshore.porcelain.explaining import Explanation, explain_request
from bluebellshore.porcelain.readback import (
    BudgetView,
    MoveView,
    Rollout,
    RolloutView,
    dump_state,
    show_budgets,
    show_moves,
    show_rollout,
)

__all__ = [
    "BudgetView",
    "Explanation",
    "KeyView",
    "MoveView",
    "Rollout",
    "RolloutView",
    "Submitted",
    "check_file",
    "check_settings",
    "dump_state",
    "explain_request",
    "generate_key",
    "show_budgets",
    "show_moves",
    "show_rollout",
    "sign_file",
    "submit_file",
]
