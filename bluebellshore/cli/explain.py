"""Command that tells the story of one request."""

import dataclasses
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import cappa

from bluebellshore import porcelain
from bluebellshore.cli.tables import print_json
from bluebellshore.decisions.story import ProcessState, StateValue, Step

__all__ = ["ExplainCommand"]

INDENT = " " * 25
DIGITS = 4


@cappa.command(name="explain", help="Tell the story of one request from logs.")
@dataclasses.dataclass
class ExplainCommand:
    """Tell the story of one request from logs."""

    request: Annotated[str, cappa.Arg(help="The caller's id of its attempt.")]
    files: Annotated[
        list[Path], cappa.Arg(help="Logs of any number of processes; none: stdin.")
    ] = dataclasses.field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def run(self) -> None:
        """Print the story."""
        explanation = porcelain.explain_request(self.request, self.files)
        if self.json:
            print_json(explanation)
            return
        story, tally = explanation.story, explanation.tally
        own = sum(step.is_own for step in story.steps)
        print(f"request {story.request}: {own} of {tally.lines} lines", end="")
        print(f", {tally.damaged} damaged lines skipped" if tally.damaged else "")
        _print_steps(story.steps)
        for note in story.notes:
            print(f"note: {note}")


def _print_steps(steps: list[Step]) -> None:
    began_at = steps[0].record.timestamp
    process = None
    state: list[str] = []
    for step in steps:
        record = step.record
        if record.process != process:
            process = record.process
            state = []
            print(f"\n{process}")
        mark = " " if step.is_own else "|"
        kind = record.kind.replace("_", " ")
        after = record.timestamp - began_at
        fields = _fields_text(record.fields)
        print(f"{_time(record.timestamp)} {after:+8.3f} s {mark} {kind}: {fields}")
        if step.is_own:
            previous, state = state, _state_lines(step.in_force)
            news = [line for line in state if line not in previous]
            for line in news or ["state as before"]:
                print(f"{INDENT}  {line}")


def _time(unix_seconds: float) -> str:
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%H:%M:%S.%f")[:-3]


def _value_text(value: object) -> str:
    if isinstance(value, float):
        return f"{round(value, DIGITS):g}" if abs(value) < 1e5 else f"{value:.1f}"
    if isinstance(value, dict):
        return f"({_fields_text(value)})"
    text = str(value)
    return repr(text) if " " in text or not text else text


def _fields_text(fields: dict[str, object]) -> str:
    return " ".join(f"{name}={_value_text(value)}" for name, value in fields.items())


def _state_value_text(state: StateValue) -> str:
    reason = f" ({state.reason})" if state.reason else ""
    return f"{state.value} since {_time(state.timestamp)}{reason}"


def _state_lines(in_force: ProcessState) -> list[str]:
    """Return what was believed, one line a matter."""
    if in_force.configuration is None:
        lines = ["configuration in force: not told by these lines"]
    else:
        lines = [f"configuration in force: {_state_value_text(in_force.configuration)}"]
    if in_force.server is not None:
        lines.append(f"this backend server: {_state_value_text(in_force.server)}")
    if in_force.ready or in_force.impaired:
        text = f"backend servers: {in_force.ready} ready"
        for server, belief in in_force.impaired.items():
            text += f", {server} {belief}"
        lines.append(text)
    if in_force.allotment is not None:
        lines.append(f"allotment, balance: {_state_value_text(in_force.allotment)}")
    if in_force.store is not None:
        lines.append(f"store: {_state_value_text(in_force.store)}")
    if in_force.evacuated_zones:
        lines.append(f"evacuated zones: {', '.join(in_force.evacuated_zones)}")
    if in_force.lost_peers:
        lines.append(f"lost routers: {', '.join(in_force.lost_peers)}")
    return lines
