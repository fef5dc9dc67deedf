"""Transition systems: inductive checks and counterexample traces."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace

import z3

__all__ = ["Action", "Model", "Step", "check_inductive", "find_trace"]

Formula = z3.BoolRef
State = SimpleNamespace

PARAMETERS = 4


@dataclass
class Action:
    """One atomic step of a model.

    :param guards: conditions by name; each may be removed in a check.
    :param updates: new values by variable; other variables keep theirs.
    """

    name: str
    guards: dict[str, Formula]
    updates: dict[str, z3.ExprRef]
    assumptions: list[Formula] = field(default_factory=list)


@dataclass
class Model:
    """A transition system.

    :param integers: names of the integer variables.
    :param booleans: names of the boolean variables.
    :param actions: actions in a state, for integer and boolean parameters.
    :param safety: what must hold.
    :param invariant: inductive strengthening of `safety`, by name.
    :param guards: guards whose removal must break `safety`, each with the actions
        along which a counterexample is sought; z3 finds the amounts. Without
        actions all traces of up to `depth` steps are searched.
    :param parameter_count: numbers, and flags, that a step may take.
    """

    name: str
    integers: list[str]
    booleans: list[str]
    initial: Callable[[State], list[Formula]]
    actions: Callable[[State, list[z3.ArithRef], list[z3.BoolRef]], list[Action]]
    safety: Callable[[State], dict[str, Formula]]
    invariant: Callable[[State], dict[str, Formula]]
    guards: dict[str, list[str]]
    depth: int = 6
    parameter_count: int = PARAMETERS

    def state(self, suffix: str) -> State:
        """Return fresh variables."""
        variables = {name: z3.Int(f"{name}_{suffix}") for name in self.integers}
        variables |= {name: z3.Bool(f"{name}_{suffix}") for name in self.booleans}
        return State(**variables)

    def parameters(self, suffix: str) -> tuple[list[z3.ArithRef], list[z3.BoolRef]]:
        """Return fresh parameters of a step."""
        numbers = [z3.Int(f"n{i}_{suffix}") for i in range(self.parameter_count)]
        flags = [z3.Bool(f"f{i}_{suffix}") for i in range(self.parameter_count)]
        return numbers, flags

    def transitions(
        self, before: State, after: State, suffix: str, removed: str = ""
    ) -> dict[str, Formula]:
        """Return the relation of each action, by name."""
        numbers, flags = self.parameters(suffix)
        relations = {}
        for action in self.actions(before, numbers, flags):
            terms = [number >= 0 for number in numbers]
            terms += action.assumptions
            terms += [term for key, term in action.guards.items() if key != removed]
            for name in self.integers + self.booleans:
                value = action.updates.get(name, getattr(before, name))
                terms.append(getattr(after, name) == value)
            relations[action.name] = z3.And(terms)
        return relations


@dataclass
class Step:
    """A step of a trace and the variables that it changed."""

    action: str
    changes: dict[str, str]

    def __str__(self) -> str:
        changes = ", ".join(f"{name}={value}" for name, value in self.changes.items())
        return f"{self.action}: {changes}"


def check_inductive(model: Model) -> Iterator[str]:
    """Yield what is not inductive; nothing when the invariant holds for ever."""
    before, after = model.state("0"), model.state("1")
    for name, term in {**model.invariant(before), **model.safety(before)}.items():
        if _satisfiable([*model.initial(before), z3.Not(term)]):
            yield f"{model.name}: {name} does not hold initially"
    held = list(model.invariant(before).values())
    for name, term in model.safety(before).items():
        if _satisfiable([*held, z3.Not(term)]):
            yield f"{model.name}: {name} does not follow from the invariant"
    for action, relation in model.transitions(before, after, "0").items():
        if not _satisfiable([*held, relation]):
            yield f"{model.name}: {action} can never be taken"
        for name, term in model.invariant(after).items():
            if _satisfiable([*held, relation, z3.Not(term)]):
                yield f"{model.name}: {action} breaks {name}"


def _satisfiable(terms: list[Formula]) -> bool:
    solver = z3.Solver()
    solver.add(*terms)
    result = solver.check()
    if result == z3.unknown:
        raise RuntimeError(f"z3 cannot decide: {solver.reason_unknown()}")
    return result == z3.sat


def find_trace(model: Model, removed: str = "") -> list[Step] | None:
    """Return a trace that breaks safety without the guard `removed`."""
    schedule = model.guards.get(removed, [])
    solver = z3.Solver()
    states = [model.state("0")]
    solver.add(*model.initial(states[0]))
    chosen: list[z3.ArithRef] = []
    names: list[str] = []
    for index in range(len(schedule) or model.depth):
        before, after = states[-1], model.state(str(index + 1))
        relations = model.transitions(before, after, str(index), removed)
        names = list(relations)
        choice = z3.Int(f"action_{index}")
        allowed = schedule[index : index + 1] or names
        solver.add(
            z3.Or(
                [
                    z3.And(choice == names.index(name), relations[name])
                    for name in allowed
                ]
            )
        )
        states.append(after)
        chosen.append(choice)
        if schedule and index < len(schedule) - 1:
            continue
        solver.push()
        solver.add(z3.Or([z3.Not(term) for term in model.safety(after).values()]))
        if solver.check() == z3.sat:
            return _trace(model, solver.model(), states, chosen, names)
        solver.pop()
    return None


def _trace(
    model: Model,
    solution: z3.ModelRef,
    states: list[State],
    chosen: list[z3.ArithRef],
    names: list[str],
) -> list[Step]:
    steps = []
    for before, after, choice in zip(states, states[1:], chosen, strict=False):
        changes = {}
        for name in model.integers + model.booleans:
            old, new = (
                str(solution.eval(getattr(state, name), model_completion=True))
                for state in (before, after)
            )
            if old != new:
                changes[name] = new
        number = solution.eval(choice, model_completion=True).as_long()
        steps.append(Step(names[number], changes))
    return steps
