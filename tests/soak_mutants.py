"""Removes one guard of the product at a time; some seed of the soak must find it.

``python -m tests.soak_mutants [name ...]`` works on a copy of the tracked files and
tries the seeds in turn until one breaks a promise.
"""

import argparse
import os
import pathlib
import subprocess
import sys
import tempfile
from dataclasses import dataclass

from tests.mutants import Mutant, copy_tracked_files, mutated

__all__ = ["GUARDS", "Guard"]

SEEDS = tuple(range(401, 409))
MINUTES, PROCESSES = "0.25", "3"


@dataclass(frozen=True)
class Guard:
    """One guard to remove; see :class:`tests.mutants.Mutant`."""

    name: str
    removed: str
    path: str
    old: str
    new: str

    def mutant(self) -> Mutant:
        """Return the mutant that removes it."""
        return Mutant(self.name, self.removed, self.path, self.old, self.new, "")


GUARDS = (
    Guard(
        "early-stop",
        "a stop during the start waits until it can be graceful",
        "bluebellshore/runtime.py",
        "signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)",
        "signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)",
    ),
    Guard(
        "late-signals",
        "signals after the stop are ignored",
        "bluebellshore/runtime.py",
        "    numbers = (signal.SIGHUP, *STOP_SIGNALS)",
        "    numbers = ()",
    ),
    Guard(
        "stop-waits",
        "a stop waits for requests in flight",
        "bluebellshore/entry/router.py",
        "while self._ingress.active and loop.time() < schedule.settle_at:",
        "while False:",
    ),
    Guard(
        "late-requests",
        "a stopping router begins only requests that end in time",
        "bluebellshore/entry/ingress.py",
        "not schedule.accepts(call.deadline, now):",
        "False:",
    ),
    Guard(
        "dead-spent",
        "tokens that a dead incarnation may have spent count as spent",
        "bluebellshore/budget/predecessor.py",
        "min(own.outstanding, incarnation_row.cap_at(budget, self._died_before))",
        "Tokens(0)",
    ),
    Guard(
        "lapsed-caps",
        "caps that lapsed count in full",
        "bluebellshore/budget/predecessor.py",
        "if not incarnation_row.caps_hold(self._died_before):",
        "if False:",
    ),
    Guard(
        "reserve",
        "prepaid tokens are reserved before a request is sent",
        "bluebellshore/entry/dispatch.py",
        "if call.customer is None or not tokens:",
        "if True:",
    ),
    Guard(
        "charge",
        "a request that may have run is charged",
        "bluebellshore/entry/dispatch.py",
        "            if progress.may_have_run:\n                spent",
        "            if False:\n                spent",
    ),
    Guard(
        "repeatable",
        "only what may be repeated is sent again after an unknown outcome",
        "bluebellshore/routing/retry_policy.py",
        "if call.route.repeatable and not began:",
        "if not began:",
    ),
    Guard(
        "unknown-run",
        "what may have run is not refused as not run",
        "bluebellshore/entry/attempt_errors.py",
        "    if not may_have_run:",
        "    if True:",
    ),
    Guard(
        "unknown-run-late",
        "what may have run when its time ends is not refused as not run",
        "bluebellshore/entry/attempt_errors.py",
        "status=504 if may_have_run else 503,",
        "status=503,",
    ),
    Guard(
        "own-headers",
        "headers of the fleet's own are taken out",
        "bluebellshore/platform/requests.py",
        "dropped = CONNECTION_HEADERS | RESERVED_HEADERS | connection_options",
        "dropped = CONNECTION_HEADERS | connection_options",
    ),
    Guard(
        "leaving-servers",
        "leaving backend servers get nothing new",
        "bluebellshore/entry/platform_state.py",
        "            and server.state is ServerState.READY\n",
        "",
    ),
    Guard(
        "broken-streams",
        "a stream that broke off does not look whole",
        "bluebellshore/entry/ingress.py",
        "            if began:\n                return sink.abort()",
        "            if began:\n"
        "                await sink.finish()\n"
        "                return sink.response",
    ),
    Guard(
        "event-order",
        "events that were passed on before are left out",
        "bluebellshore/entry/relay.py",
        "event.number <= self._last_number:",
        "event.number < 0:",
    ),
    Guard(
        "store-time-limit",
        "calls to the store have a time limit",
        "bluebellshore/platform/store_calls.py",
        "asyncio.timeout(timeout_seconds or self._call_seconds)",
        "asyncio.timeout(None)",
    ),
    Guard(
        "lost-history",
        "a table is read anew when its history is lost",
        "bluebellshore/entry/watch.py",
        "                self._versions[table] = None\n",
        "",
    ),
    Guard(
        "caller-resets",
        "callers that reset are no internal error",
        "bluebellshore/entry/ingress.py",
        "except ConnectionError as error:",
        "except ZeroDivisionError as error:",
    ),
)


def find(guard: Guard, root: pathlib.Path, seeds: tuple[int, ...]) -> str:
    """Return what found that a guard is missing; empty when nothing did."""
    path = root / guard.path
    original = path.read_text()
    path.write_text(mutated(guard.mutant(), root))
    try:
        for seed in seeds:
            broken = _broken_by(seed, root)
            if broken:
                return f"seed {seed}: {', '.join(sorted(broken))}"
    finally:
        path.write_text(original)
    return ""


def _broken_by(seed: int, root: pathlib.Path) -> set[str]:
    words = ("--seed", str(seed), "--minutes", MINUTES, "--processes", PROCESSES)
    done = subprocess.run(
        (sys.executable, "-m", "bluebellshore", "soak", *words),
        cwd=root,
        env=os.environ | {"PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
        check=False,
    )
    lines = done.stdout.splitlines()
    begin = "BROKEN "
    found = [line.removeprefix(begin) for line in lines if line.startswith(begin)]
    if done.returncode and not found:
        return {f"no run: {done.stderr[-300:]}"}
    return {line.partition(":")[0] for line in found}


def main() -> int:
    """Try the guards named, or all. :return: how many were not found missing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*")
    parser.add_argument("--seeds", type=int, default=len(SEEDS), help="at most")
    parser.add_argument("--first", type=int, default=SEEDS[0], help="first seed")
    options = parser.parse_args()
    seeds = tuple(range(options.first, options.first + options.seeds))
    names = options.names
    missed = 0
    with tempfile.TemporaryDirectory(prefix="bluebellshore-mutants-") as folder:
        root = pathlib.Path(folder)
        copy_tracked_files(root)
        for guard in GUARDS:
            if names and guard.name not in names:
                continue
            found = find(guard, root, seeds)
            missed += not found
            print(f"{guard.name}: {found or 'NOT FOUND'}", flush=True)
    return missed


if __name__ == "__main__":
    sys.exit(main())
