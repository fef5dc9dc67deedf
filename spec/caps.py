"""Model of caps that lapse: one life of a router without sidecars, one budget.

Names are those of the code: ``DirectBook`` (cap, gate as ``lapses_at``),
``IncarnationRow`` (seen, cap) and two unanswered transactions of the journal. ``seen``
is the store's time in the newest answer, ``answered`` the time at which that came.
Time is one clock: the router's may only be slower, which lets its gate open later.
A late landing may follow the death. What is held is fixed; grants are the matter of
``spec.allotment``.

Ghosts: ``died_at`` and ``counted``, what the next life counts as spent.
"""

import z3

from spec.model import Action, Model

__all__ = ["MODEL"]

SLOTS = (1, 2)

INTEGERS = [
    "lapse",
    "held",
    "now",
    "seen",
    "answered",
    "gate",
    "cap",
    "used",
    "row_seen",
    "row_cap",
    "died_at",
    "told",
    "counted",
    *(f"{name}_{i}" for i in SLOTS for name in ("seen", "cap")),
]
BOOLEANS = [
    "dead",
    "started",
    "recovered",
    *(f"{name}_{i}" for i in SLOTS for name in ("open", "current", "landed")),
]
END = ["die", "start", "recover"]
CAPPED = ["compose_1", "land_1", "apply_1"]
GUARDS = {
    "reserve_within_held": ["tick", "reserve", *END],
    "reserve_within_cap": ["reserve", *END],
    "cap_covers_use": [*CAPPED, "reserve", "compose_1", "land_1", *END],
    "lower_caps_first": [*CAPPED, "compose_1", "reserve", "land_1", *END],
    "gate_moves_when_sent": [
        *("tick", "answer", "compose_1", "land_1", "reserve", *END),
    ],
    "expected_version": [
        *("compose_1", "compose_2", "land_2", "apply_2", "reserve", "land_1", *END),
    ],
    "apply_landed": ["compose_1", "apply_1", "reserve", *END],
    "compose_after_resolve": [
        *("compose_1", "land_1", "compose_2", "land_2", "apply_1", "reserve", *END),
    ],
    "answer_of_this_life": ["tick", "reserve", *END],
    "lapsed_counts_all": ["tick", "reserve", *END],
}


def _get(s, name: str, i: int):
    return getattr(s, f"{name}_{i}")


def _initial(s) -> list:
    free = {"lapse", "held", "gate"}
    zero = [getattr(s, name) == 0 for name in INTEGERS if name not in free]
    none = [z3.Not(getattr(s, name)) for name in BOOLEANS]
    return [*zero, *none, s.lapse > 0, s.held >= 0, s.gate == s.lapse]


def _slot(s, n, f, i: int) -> list[Action]:
    other = 3 - i
    is_open, current, landed = (
        _get(s, name, i) for name in ("open", "current", "landed")
    )
    closed = {f"{name}_{i}": z3.BoolVal(False) for name in ("open", "landed")}
    return [
        Action(
            f"compose_{i}",
            {
                "cap_covers_use": n[0] >= s.used,
                "lower_caps_first": n[1] <= n[0],
                "gate_moves_when_sent": n[2] >= s.answered + s.lapse,
                "compose_after_resolve": z3.Implies(
                    f[0], z3.Not(z3.Or([_get(s, "landed", j) for j in SLOTS]))
                ),
            },
            {
                f"cap_{i}": n[0],
                f"seen_{i}": s.seen,
                f"open_{i}": z3.BoolVal(True),
                f"current_{i}": f[0],
                "cap": n[1],
                "gate": n[2],
            },
            [z3.Not(s.dead), z3.Not(is_open), n[1] <= s.cap, n[2] >= s.gate],
        ),
        Action(
            f"land_{i}",
            {"expected_version": current},
            {
                "row_cap": _get(s, "cap", i),
                "row_seen": _get(s, "seen", i),
                f"landed_{i}": z3.BoolVal(True),
                f"current_{i}": z3.BoolVal(False),
                f"current_{other}": z3.BoolVal(False),
            },
            [is_open, z3.Not(landed), z3.Not(s.recovered)],
        ),
        Action(
            f"apply_{i}",
            {"apply_landed": landed},
            {"cap": _get(s, "cap", i), **closed},
            [is_open, z3.Not(s.dead)],
        ),
        Action(
            f"discard_{i}",
            {},
            closed,
            [is_open, z3.Not(current), z3.Not(landed), z3.Not(s.dead)],
        ),
    ]


def _actions(s, n, f) -> list[Action]:
    live = z3.Not(s.dead)
    whole = z3.If(f[0], z3.If(s.row_cap < s.held, s.row_cap, s.held), s.held)
    return [
        *(action for i in SLOTS for action in _slot(s, n, f, i)),
        Action("tick", {}, {"now": s.now + n[0]}, [n[0] > 0]),
        Action(
            "answer",
            {},
            {"seen": n[0], "answered": s.now},
            [live, s.seen <= n[0], n[0] <= s.now],
        ),
        Action(
            "reserve",
            {
                "reserve_within_held": s.used + n[0] <= s.held,
                "reserve_within_cap": z3.Or(s.used + n[0] <= s.cap, s.now > s.gate),
            },
            {"used": s.used + n[0]},
            [live, n[0] > 0],
        ),
        Action("release", {}, {"used": s.used - n[0]}, [live, n[0] <= s.used]),
        Action("die", {}, {"dead": z3.BoolVal(True), "died_at": s.now}, [live]),
        Action(
            "start",
            {"answer_of_this_life": n[0] >= s.died_at},
            {"started": z3.BoolVal(True), "told": n[0]},
            [s.dead, z3.Not(s.started), n[0] <= s.now],
        ),
        Action(
            "recover",
            {"lapsed_counts_all": z3.Implies(f[0], s.told - s.row_seen < s.lapse)},
            {
                "counted": whole,
                "recovered": z3.BoolVal(True),
                **{f"current_{i}": z3.BoolVal(False) for i in SLOTS},
            },
            [s.started, z3.Not(s.recovered)],
        ),
    ]


def _safety(s) -> dict:
    return {"spent_is_counted": z3.Implies(s.recovered, s.used <= s.counted)}


def _invariant(s) -> dict:
    last = z3.If(s.dead, s.died_at, s.now)
    slots = {}
    for i in SLOTS:
        is_open, current, landed, seen, cap = (
            _get(s, name, i) for name in ("open", "current", "landed", "seen", "cap")
        )
        slots[f"transaction_{i}"] = z3.And(
            z3.Implies(z3.Or(current, landed), is_open),
            z3.Implies(
                current,
                z3.And(
                    s.cap <= cap,
                    seen + s.lapse <= s.gate,
                    z3.Or(s.used <= cap, last >= seen + s.lapse),
                    *(z3.Not(_get(s, "landed", j)) for j in SLOTS),
                ),
            ),
            z3.Implies(landed, s.row_cap == cap),
        )
    return {
        **_safety(s),
        **slots,
        "not_negative": z3.And([getattr(s, name) >= 0 for name in INTEGERS]),
        "order_of_times": z3.And(s.seen <= s.answered, s.answered <= s.now),
        "life": z3.And(
            z3.Implies(s.started, z3.And(s.dead, s.died_at <= s.told)),
            z3.Implies(s.recovered, s.started),
            z3.Implies(s.dead, s.died_at <= s.now),
        ),
        "within_held": s.used <= s.held,
        "cap_in_row": s.cap <= s.row_cap,
        "gate_after_row": s.row_seen + s.lapse <= s.gate,
        "row_bounds_use": z3.Or(s.used <= s.row_cap, last >= s.row_seen + s.lapse),
    }


MODEL = Model(
    "caps", INTEGERS, BOOLEANS, _initial, _actions, _safety, _invariant, GUARDS
)
