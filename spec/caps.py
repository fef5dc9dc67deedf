"""Model of caps that lapse: one life of a router without sidecars, one budget.

Names are those of the code: ``DirectBook`` (line as cap, rate, since; gate as
``lapses_at``), ``IncarnationRow`` (seen, cap, rate) and two unanswered transactions of
the journal. ``seen`` is the store's time in the newest answer, ``answered`` the time at
which that came. A cap grows by ``rate`` tokens a unit of time, here 0, 1 or 2. Time is
one clock: the router's may only be slower, which lets its gate open later and its cap
grow less. The store tells it in steps: up to ``bias`` later than it is, else earlier,
by less than ``step`` in all. A late landing may follow the death. What is held is
fixed; grants are the matter of ``spec.allotment``.

The next life (``Predecessors``, ``StoreTime.latest_at``) marks when it began, asks the
store, and takes off what it was told the time it had lived when it asked, by its own
clock. That may be quicker by 1/DRIFT_PARTS, and slower by any amount. Mark and call
may come in any order. ``began`` is its bound on the store's time of the mark.

Ghosts: ``died_at`` and ``counted``, what the next life counts as spent.
"""

import z3

from spec.model import Action, Model

__all__ = ["MODEL"]

SLOTS = (1, 2)
#: A clock of the next life shows up to DRIFT_PARTS + 1 for each DRIFT_PARTS units.
DRIFT_PARTS = 20

INTEGERS = [
    "lapse",
    "held",
    "now",
    "seen",
    "answered",
    "gate",
    "cap",
    "rate",
    "since",
    "used",
    "row_seen",
    "row_cap",
    "row_rate",
    "step",
    "bias",
    "died_at",
    "marked_at",
    "asked_at",
    "began",
    "counted",
    *(f"{name}_{i}" for i in SLOTS for name in ("seen", "cap", "rate", "from")),
]
BOOLEANS = [
    "dead",
    "marked",
    "asked",
    "told",
    "recovered",
    *(f"{name}_{i}" for i in SLOTS for name in ("open", "current", "landed")),
]
END = ["die", "mark", "ask", "tell", "recover"]
CAPPED = ["compose_1", "land_1", "apply_1"]
GUARDS = {
    "reserve_within_held": ["tick", "reserve", *END],
    "reserve_within_cap": ["reserve", *END],
    "cap_covers_use": [*CAPPED, "reserve", "compose_1", "land_1", *END],
    "lower_caps_first": [*CAPPED, "compose_1", "reserve", "land_1", *END],
    "lower_growth_first": [
        *(*CAPPED, "compose_2", "land_2", "tick", "reserve", *END),
    ],
    "grows_from_the_answer": ["tick", "answer", *CAPPED, "reserve", *END],
    "growth_counted": [*CAPPED, "tick", "reserve", *END],
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
    "marked_by_this_life": ["mark", "tick", "reserve", "die", *END[2:]],
    "asked_by_this_life": ["ask", "tick", "reserve", "die", "mark", *END[3:]],
    "lived_until_asked": ["tick", "reserve", *END[:3], "tick", *END[3:]],
    "drift_taken_off": ["tick", "reserve", *END[:2], "tick", *END[2:]],
    "step_added": ["tick", "reserve", *END],
    "lapsed_counts_all": ["tick", "reserve", *END],
}


def _get(s, name: str, i: int):
    return getattr(s, f"{name}_{i}")


def _grown(rate, time):
    """What a cap grows by; linear for z3, which cannot tell much of products."""
    grown = z3.If(rate == 1, time, z3.If(rate >= 2, 2 * time, 0))
    return z3.If(time > 0, grown, 0)


def _initial(s) -> list:
    free = {"lapse", "held", "gate", "step", "bias"}
    zero = [getattr(s, name) == 0 for name in INTEGERS if name not in free]
    none = [z3.Not(getattr(s, name)) for name in BOOLEANS]
    clock = [0 <= s.bias, s.bias <= s.step]
    return [*zero, *none, *clock, s.lapse > 0, s.held >= 0, s.gate == s.lapse]


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
                "lower_growth_first": n[4] <= n[3],
                "grows_from_the_answer": n[5] >= s.answered,
                "gate_moves_when_sent": n[2] >= s.answered + s.lapse,
                "compose_after_resolve": z3.Implies(
                    f[0], z3.Not(z3.Or([_get(s, "landed", j) for j in SLOTS]))
                ),
            },
            {
                f"cap_{i}": n[0],
                f"rate_{i}": n[3],
                f"from_{i}": n[5],
                f"seen_{i}": s.seen,
                f"open_{i}": z3.BoolVal(True),
                f"current_{i}": f[0],
                "cap": n[1],
                "rate": n[4],
                "since": n[5],
                "gate": n[2],
            },
            [
                *(z3.Not(s.dead), z3.Not(is_open), n[2] >= s.gate),
                *(n[3] <= 2, n[4] <= s.rate, s.since <= n[5], n[5] <= s.now),
                n[1] <= s.cap + _grown(s.rate, n[5] - s.since),
            ],
        ),
        Action(
            f"land_{i}",
            {"expected_version": current},
            {
                "row_cap": _get(s, "cap", i),
                "row_rate": _get(s, "rate", i),
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
            {
                "cap": _get(s, "cap", i),
                "rate": _get(s, "rate", i),
                "since": _get(s, "from", i),
                **closed,
            },
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
    row_cap = s.row_cap + n[0]
    counted = z3.If(f[0], z3.If(row_cap < s.held, row_cap, s.held), s.held)
    cap = s.cap + _grown(s.rate, s.now - s.since)
    return [
        *(action for i in SLOTS for action in _slot(s, n, f, i)),
        Action("tick", {}, {"now": s.now + n[0]}, [n[0] > 0]),
        Action(
            "answer",
            {},
            {"seen": n[0], "answered": s.now},
            [live, s.seen <= n[0], n[0] <= s.now + s.bias],
        ),
        Action(
            "reserve",
            {
                "reserve_within_held": s.used + n[0] <= s.held,
                "reserve_within_cap": z3.Or(s.used + n[0] <= cap, s.now > s.gate),
            },
            {"used": s.used + n[0]},
            [live, n[0] > 0],
        ),
        Action("release", {}, {"used": s.used - n[0]}, [live, n[0] <= s.used]),
        Action("die", {}, {"dead": z3.BoolVal(True), "died_at": s.now}, [live]),
        Action(
            "mark",
            {"marked_by_this_life": s.dead},
            {"marked": z3.BoolVal(True), "marked_at": s.now},
            [z3.Not(s.marked)],
        ),
        Action(
            "ask",
            {"asked_by_this_life": s.dead},
            {"asked": z3.BoolVal(True), "asked_at": s.now},
            [z3.Not(s.asked)],
        ),
        _tell(s, *n[:4]),
        Action(
            "recover",
            {
                "lapsed_counts_all": z3.Implies(f[0], s.began - s.row_seen < s.lapse),
                "growth_counted": n[0] >= _grown(s.row_rate, s.began - s.row_seen),
            },
            {
                "counted": counted,
                "recovered": z3.BoolVal(True),
                **{f"current_{i}": z3.BoolVal(False) for i in SLOTS},
            },
            [s.told, z3.Not(s.recovered)],
        ),
    ]


def _tell(s, shown, added, measured, lived) -> Action:
    """The answer comes: it shows a moment after the call."""

    def shows(until):
        """Whether the clock may have measured this since the mark."""
        most = z3.If(until > s.marked_at, until - s.marked_at, 0)
        return DRIFT_PARTS * measured <= (DRIFT_PARTS + 1) * most

    return Action(
        "tell",
        {
            "lived_until_asked": shows(s.asked_at),
            "drift_taken_off": (DRIFT_PARTS + 1) * lived <= DRIFT_PARTS * measured,
            "step_added": added >= s.step,
        },
        {"told": z3.BoolVal(True), "began": shown + added - lived},
        [
            *(s.dead, s.marked, s.asked, z3.Not(s.told)),
            *(shows(s.now), lived <= measured, lived <= shown + added),
            *(shown > s.asked_at + s.bias - s.step, shown <= s.now + s.bias),
        ],
    )


def _safety(s) -> dict:
    return {"spent_is_counted": z3.Implies(s.recovered, s.used <= s.counted)}


def _invariant(s) -> dict:
    last = z3.If(s.dead, s.died_at, s.now)
    lived_of_row = last + s.bias - s.row_seen
    slots = {}
    for i in SLOTS:
        is_open, current, landed, seen, cap, rate, since = (
            _get(s, name, i)
            for name in ("open", "current", "landed", "seen", "cap", "rate", "from")
        )
        lived = last + s.bias - seen
        slots[f"transaction_{i}"] = z3.And(
            z3.Implies(z3.Or(current, landed), is_open),
            z3.Implies(
                current,
                z3.And(
                    s.rate <= rate,
                    s.cap <= cap + _grown(rate, s.since - since),
                    since <= s.since,
                    seen <= since + s.bias,
                    rate <= 2,
                    seen + s.lapse <= s.gate + s.bias,
                    z3.Or(s.used <= cap + _grown(rate, lived), lived >= s.lapse),
                    *(z3.Not(_get(s, "landed", j)) for j in SLOTS),
                ),
            ),
            z3.Implies(
                landed,
                z3.And(
                    *(s.row_cap == cap, s.row_rate == rate, s.row_seen == seen),
                    *(seen <= since + s.bias, since <= s.now),
                ),
            ),
        )
    return {
        **_safety(s),
        **slots,
        "not_negative": z3.And([getattr(s, name) >= 0 for name in INTEGERS]),
        "order_of_times": z3.And(
            s.seen <= s.answered + s.bias, s.answered <= s.now, s.bias <= s.step
        ),
        "life": z3.And(
            z3.Implies(s.marked, z3.And(s.dead, s.died_at <= s.marked_at)),
            z3.Implies(s.asked, z3.And(s.dead, s.died_at <= s.asked_at)),
            z3.Implies(s.told, s.died_at + s.bias <= s.began),
            z3.Implies(s.told, s.dead),
            z3.Implies(s.recovered, s.told),
            z3.Implies(s.dead, s.died_at <= s.now),
        ),
        "within_held": s.used <= s.held,
        "line_below_row": z3.And(
            s.rate <= s.row_rate,
            s.cap <= s.row_cap + _grown(s.row_rate, s.since + s.bias - s.row_seen),
            s.row_seen <= s.since + s.bias,
            s.since <= s.now,
            s.row_rate <= 2,
        ),
        "gate_after_row": s.row_seen + s.lapse <= s.gate + s.bias,
        "row_bounds_use": z3.Or(
            s.used <= s.row_cap + _grown(s.row_rate, lived_of_row),
            lived_of_row >= s.lapse,
        ),
    }


MODEL = Model(
    "caps",
    INTEGERS,
    BOOLEANS,
    _initial,
    _actions,
    _safety,
    _invariant,
    GUARDS,
    parameter_count=6,
)
