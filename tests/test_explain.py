"""Tests of explaining one request from made-up logs of several processes."""

import asyncio
import json
import pathlib
import sys
import tempfile
import unittest

from bluebellshore import porcelain
from bluebellshore.cli.main import ExitCode
from bluebellshore.decisions import (
    AllotmentOutcome,
    Belief,
    BudgetOutcome,
    Contact,
    DecisionLog,
    Outcome,
)
from bluebellshore.errors import BluebellshoreError
from tests.test_cli import ROOT, command

#: Unix seconds; 08:00 UTC.
STARTED_AT = 1_800_000_000.0


class FakeProcess:
    """A simulated process that keeps its log lines in memory.

    :param started_at: Unix seconds when its monotonic clock is at 50 s.
    """

    def __init__(self, name: str, started_at: float = STARTED_AT):
        self.now = 50.0
        self.offset = started_at - 50.0
        self.lines: list[bytes] = []
        self._common_fields = {"instance": name, "incarnation": f"{name}.1"}
        self.log = DecisionLog(
            self._append,
            clock=lambda: self.now,
            wall_clock=lambda: self.now + self.offset,
        )

    def _append(self, message: dict) -> None:
        self.lines.append(
            json.dumps({**self._common_fields, **message}).encode() + b"\n"
        )

    def after(self, seconds: float) -> DecisionLog:
        """Advance the clock and return the log."""
        self.now += seconds
        return self.log


def log_placed(log: DecisionLog, request: str, server: str, attempt: int = 1) -> None:
    log.placed(
        request,
        attempt=attempt,
        server=server,
        expected_seconds=0.25,
        cached_tokens=10,
        candidates=3,
    )


def process_that_refused() -> FakeProcess:
    """Return a router that refused `a-1` while one of two servers was suspected."""
    router = FakeProcess("edge-1")
    router.log.configuration(11, in_force=True, source="store", row_version=40)
    router.log.backend_server("s-1", Belief.READY, row_version=41)
    router.log.backend_server("s-2", Belief.READY, row_version=42)
    router.log.allotment(
        "acme", AllotmentOutcome.GRANTED, tokens=900, balance=900, row_version=43
    )
    router.after(3).backend_server("s-2", Belief.SUSPECTED, reason="2 broken")
    router.after(1).peer("edge-9:1", Contact.LOST, silent_seconds=2.0)
    router.after(1).admitted(
        "a-1",
        route="shop",
        customer="acme",
        priority=1,
        deadline_seconds=2.0,
        configuration=11,
    )
    log_placed(router.log, "a-2", "s-1")
    router.after(0.5).refused(
        "a-1", status=503, reason="no server in time", inputs={"servers": 1}
    )
    router.after(1).configuration(12, in_force=True, source="store", row_version=50)
    return router


class LogFilesTestCase(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def write(self, name: str, lines: list[bytes]) -> pathlib.Path:
        path = self.directory / name
        path.write_bytes(b"".join(lines))
        return path

    def explain(self, request: str, *logs: list[bytes]) -> porcelain.Explanation:
        files = [self.write(f"{number}.log", log) for number, log in enumerate(logs)]
        return porcelain.explain_request(request, files)


class StoryTest(LogFilesTestCase):
    def test_own_lines_in_order_each_with_the_state_in_force(self):
        story = self.explain("a-1", process_that_refused().lines).story
        self.assertEqual(
            [step.record.kind for step in story.steps], ["admitted", "refused"]
        )
        state = story.steps[1].in_force
        self.assertEqual(state.configuration.value, "11")
        self.assertEqual(state.configuration.timestamp, STARTED_AT)
        self.assertEqual(state.ready, 1)
        self.assertEqual(state.impaired, {"s-2": "suspected"})
        self.assertEqual(state.lost_peers, ["edge-9:1"])
        self.assertEqual(state.allotment.value, "granted, 900")
        self.assertEqual(story.notes, [])

    def test_changes_between_steps_are_shown_if_they_concern_the_request(self):
        router = FakeProcess("edge-1")
        log_placed(router.log, "a-1", "s-1")
        router.after(0.1).backend_server("s-7", Belief.GONE)
        router.after(0.1).backend_server("s-1", Belief.GONE, reason="entry removed")
        router.after(0.1).store(Contact.LOST)
        router.after(0.1).sent_again(
            "a-1",
            attempt=1,
            server="s-1",
            reason="broken",
            seconds_left=1.0,
            attempts_left=1,
        )
        steps = self.explain("a-1", router.lines).story.steps
        self.assertEqual(
            [(step.record.kind, step.is_own) for step in steps],
            [
                ("placed", True),
                ("backend_server", False),
                ("store", False),
                ("sent_again", True),
            ],
        )
        self.assertEqual(steps[-1].in_force.server.value, "gone")
        self.assertEqual(steps[-1].in_force.server.reason, "entry removed")
        self.assertEqual(steps[-1].in_force.store.value, "lost")

    def test_line_written_late_is_ordered_by_its_clock(self):
        router = process_that_refused()
        first = next(n for n, line in enumerate(router.lines) if b"admitted" in line)
        router.lines.append(router.lines.pop(first))
        steps = self.explain("a-1", router.lines).story.steps
        self.assertEqual([s.record.kind for s in steps], ["admitted", "refused"])
        self.assertEqual(steps[0].in_force.configuration.value, "11")

    def test_processes_are_merged_by_time_and_keep_their_own_state(self):
        first, second = FakeProcess("edge-1"), FakeProcess("edge-2", STARTED_AT + 0.2)
        first.log.configuration(1, in_force=True, source="store")
        second.log.configuration(2, in_force=True, source="edge-1")
        log_placed(first.log, "a-1", "s-1")
        log_placed(second.log, "a-1", "s-2")
        first.after(0.5).ended("a-1", status=499, outcome=Outcome.LEFT, seconds=0.5)
        steps = self.explain("a-1", second.lines, first.lines).story.steps
        self.assertEqual(
            [(s.record.process.instance, s.record.kind) for s in steps],
            [("edge-1", "placed"), ("edge-2", "placed"), ("edge-1", "ended")],
        )
        self.assertEqual(
            [s.in_force.configuration.value for s in steps], ["1", "2", "1"]
        )

    def test_incarnations_of_one_instance_are_kept_apart(self):
        first, second = FakeProcess("edge-1"), FakeProcess("edge-1", STARTED_AT + 9)
        second._common_fields["incarnation"] = "edge-1.2"
        first.log.configuration(1, in_force=True, source="store")
        log_placed(second.log, "a-1", "s-1")
        steps = self.explain("a-1", first.lines + second.lines).story.steps
        self.assertIsNone(steps[0].in_force.configuration)

    def test_clock_that_jumps_does_not_change_the_order_and_is_noted(self):
        router = FakeProcess("edge-1")
        log_placed(router.log, "a-1", "s-1")
        router.offset -= 5
        log_placed(router.after(0.1), "a-1", "s-2", attempt=2)
        router.offset += 5
        router.after(0.1).ended("a-1", status=200, outcome=Outcome.ANSWERED, seconds=1)
        story = self.explain("a-1", router.lines).story
        self.assertEqual(
            [s.record.kind for s in story.steps], ["placed", "placed", "ended"]
        )
        self.assertEqual(len(story.notes), 2, story.notes)
        self.assertIn("-5.0 s", story.notes[0])
        self.assertIn("+5.0 s", story.notes[1])

    def test_missing_lines_near_the_request_are_noted(self):
        router = process_that_refused()
        message = {"message_type": "lines_dropped", "lines": 31, "clock": router.now}
        router._append({**message, "timestamp": STARTED_AT})
        router._append({**message, "timestamp": STARTED_AT, "clock": router.now + 60})
        notes = self.explain("a-1", router.lines).story.notes
        dropped = [note for note in notes if "lines dropped: 31" in note]
        self.assertEqual(len(dropped), 1)

    def test_request_without_an_end_notes_how_the_process_ended(self):
        first, second = FakeProcess("edge-1"), FakeProcess("edge-1", STARTED_AT + 2.5)
        second._common_fields["incarnation"] = "edge-1.2"
        log_placed(first.log, "a-1", "s-1")
        notes = self.explain("a-1", first.lines).story.notes
        self.assertEqual(
            notes, ["edge-1.1: no line reports how the request ended here"]
        )
        second.log.started("entry")
        [note] = self.explain("a-1", first.lines, second.lines).story.notes
        self.assertIn("killed or failed, its successor started 2.5 s after", note)
        first.after(1).stopped()
        [note] = self.explain("a-1", first.lines, second.lines).story.notes
        self.assertIn("then shut down normally", note)
        first.log.ended("a-1", status=200, outcome=Outcome.ANSWERED, seconds=1)
        self.assertEqual(self.explain("a-1", first.lines).story.notes, [])

    def test_process_that_counts_dropped_lines_as_it_stops_was_called_killed(self):
        # The writer counts the lines that it dropped after all others.
        first, second = FakeProcess("edge-1"), FakeProcess("edge-1", STARTED_AT + 2.5)
        second._common_fields["incarnation"] = "edge-1.2"
        log_placed(first.log, "a-1", "s-1")
        first.after(1).stopped()
        message = {"message_type": "lines_dropped", "lines": 31, "clock": first.now}
        first._append({**message, "timestamp": STARTED_AT + 1})
        second.log.started("entry")
        notes = self.explain("a-1", first.lines, second.lines).story.notes
        self.assertEqual(len(notes), 2, notes)
        self.assertIn("then shut down normally", notes[-1])

    def test_request_of_a_router_that_names_it_by_key(self):
        line = {"message_type": "refused", "key": "acme/7", "status": 503}
        line |= {"timestamp": STARTED_AT, "task_uuid": "u", "task_level": [1]}
        steps = self.explain("acme/7", [json.dumps(line).encode()]).story.steps
        self.assertEqual(steps[0].record.fields, {"status": 503})
        self.assertTrue(str(steps[0].record.process).endswith("0.log"))


class AbsenceTest(LogFilesTestCase):
    """An absent router left a request at another one without tokens."""

    def successor(self, outcome: AllotmentOutcome, tokens: int) -> FakeProcess:
        """Return a process that recovered `tokens` of its predecessor at 10 s."""
        successor = FakeProcess("edge-2")
        successor.after(10).allotment(
            "acme",
            outcome,
            tokens=tokens,
            balance=0,
            reason="edge-2.0 was absent for 3.7 s, and its caps hold for 2.2 s",
            inputs={"predecessor": "edge-2.0", "away_seconds": 4.5},
        )
        return successor

    def notes(
        self,
        status: int,
        after_seconds: float,
        *,
        tokens: int = 500,
        outcome: AllotmentOutcome = AllotmentOutcome.COUNTED_SPENT,
        customer: str = "acme",
        **inputs: object,
    ) -> list[str]:
        """Return the notes on a request that lacked 30 tokens.

        :param after_seconds: time of the refusal, on the same clock.
        :param tokens: tokens of the predecessor.
        """
        router = FakeProcess("edge-1")
        inputs = {"cover": 70, "balance": 70, "store_lost": False, **inputs}
        router.after(after_seconds).budget(
            "a-1",
            customer=customer,
            outcome=BudgetOutcome.SHORT,
            tokens=100,
            balance=70,
            balance_age_seconds=0.1,
            inputs=inputs,
        )
        router.log.refused("a-1", status=status, reason="x", inputs=inputs)
        successor = self.successor(outcome, tokens)
        return self.explain("a-1", successor.lines, router.lines).story.notes

    def test_402_names_the_absence_whose_tokens_would_have_covered_it(self):
        [note] = self.notes(402, 12.0)
        self.assertIn("edge-1.1: 30 tokens of acme were lacking", note)
        self.assertIn("500 had been counted as spent without a bill", note)
        self.assertIn("500 2.0 s before (edge-2.0 was absent for 3.7 s", note)

    def test_402_that_the_absence_did_not_cause_names_none(self):
        self.assertEqual(self.notes(402, 12.0, tokens=29), [])
        self.assertEqual(self.notes(402, 9.0), [])
        self.assertEqual(self.notes(402, 12.0, customer="bolt"), [])
        self.assertEqual(self.notes(402, 12.0, cover=100), [])
        reclaimed = AllotmentOutcome.RECLAIMED
        self.assertEqual(self.notes(402, 12.0, outcome=reclaimed), [])
        self.assertEqual(self.notes(404, 12.0), [])

    def test_503_names_a_router_that_was_absent_at_the_time(self):
        for outcome in (AllotmentOutcome.RECLAIMED, AllotmentOutcome.COUNTED_SPENT):
            [note] = self.notes(503, 8.0, outcome=outcome)
            self.assertIn("500 were with edge-2.0, which was absent", note)
            self.assertIn("2.0 s later", note)

    def test_503_names_tokens_counted_as_spent_before(self):
        [note] = self.notes(503, 12.0)
        self.assertIn("500 had been counted as spent without a bill", note)

    def test_503_that_no_absence_caused_names_none(self):
        self.assertEqual(self.notes(503, 5.0), [])
        self.assertEqual(self.notes(503, 8.0, tokens=29), [])
        self.assertEqual(self.notes(503, 8.0, store_lost=True), [])
        self.assertEqual(self.notes(503, 12.0, store_lost=True), [])
        self.assertEqual(self.notes(503, 8.0, balance=100), [])

    def test_lines_with_odd_values_are_no_absence(self):
        successor = FakeProcess("edge-2")
        for inputs, tokens in (({"away_seconds": "x"}, 500), ({"a": 1}, [5])):
            successor.log.allotment(
                "acme",
                AllotmentOutcome.COUNTED_SPENT,
                tokens=tokens,
                balance=0,
                inputs=inputs,
            )
        router = FakeProcess("edge-1")
        router.log.budget(
            "a-1",
            customer="acme",
            outcome=BudgetOutcome.SHORT,
            tokens="many",
            balance=0,
            balance_age_seconds=None,
            inputs={"cover": None},
        )
        router.log.refused("a-1", status=402, reason="x")
        story = self.explain("a-1", successor.lines, router.lines).story
        self.assertEqual(story.notes, [])

    def test_bills_of_the_customer_are_no_step(self):
        router = FakeProcess("edge-1")
        log_placed(router.log, "a-1", "s-1")
        for outcome in (AllotmentOutcome.BILLED, AllotmentOutcome.GRANTED):
            router.log.allotment("acme", outcome, tokens=9, balance=5)
        router.log.budget(
            "a-1",
            customer="acme",
            outcome=BudgetOutcome.SETTLED,
            tokens=9,
            balance=5,
            balance_age_seconds=0.1,
        )
        steps = self.explain("a-1", router.lines).story.steps
        kinds = [step.record.fields.get("outcome") for step in steps]
        self.assertEqual(kinds, [None, "granted", "settled"])


class DamageTest(LogFilesTestCase):
    def test_damaged_lines_are_counted_and_skipped(self):
        lines = process_that_refused().lines
        whole = self.explain("a-1", lines)
        bad = [
            b"Traceback (most recent call last):\n",
            b"\xff\xfe\x00\n",
            b'{"message_type":"placed","request":"a-1"\n',
            b"[1,2]\n",
            b'{"message_type":5}\n',
            lines[0][:40] + lines[1],
        ]
        mixed = bad[:3] + lines + bad[3:] + [b"\n", lines[0][:-9]]
        damaged = self.explain("a-1", mixed)
        self.assertEqual(damaged.tally.damaged, 7)
        self.assertEqual(damaged.story, whole.story)

    def test_prefix_of_a_log_collector_is_skipped(self):
        lines = [b"Dec 04 edge-1 router[7]: " + x for x in process_that_refused().lines]
        explanation = self.explain("a-1", lines)
        self.assertEqual(explanation.tally.damaged, 0)
        self.assertEqual(len(explanation.story.steps), 2)

    def test_nothing_found_raises_with_counts(self):
        with self.assertRaises(BluebellshoreError) as caught:
            self.explain("a-9", process_that_refused().lines, [b"{damaged\n"])
        self.assertIn("11 lines, 1 of them damaged", str(caught.exception))


class ExplainCommandTest(unittest.IsolatedAsyncioTestCase, LogFilesTestCase):
    async def test_prints_steps_state_and_changes(self):
        path = self.write("a.log", process_that_refused().lines)
        code, output, _ = await command("explain", "a-1", str(path))
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("request a-1: 2 of 10 lines\n", output)
        self.assertIn("edge-1.1", output)
        self.assertIn("refused: status=503 reason='no server in time'", output)
        self.assertIn("inputs=(servers=1)", output)
        self.assertIn("configuration in force: 11 since 08:00:00.000", output)
        self.assertIn("backend servers: 1 ready, s-2 suspected", output)
        self.assertIn("lost routers: edge-9:1", output)
        self.assertIn("state as before", output)
        self.assertNotIn("a-2", output)

    async def test_refused_budget_shows_the_balance_behind_it(self):
        router = FakeProcess("edge-1")
        router.log.allotment(
            "acme", AllotmentOutcome.USED_UP, tokens=0, balance=12, row_version=9
        )
        router.after(2).budget(
            "a-1",
            customer="acme",
            outcome=BudgetOutcome.SHORT,
            tokens=40,
            balance=12,
            balance_age_seconds=2.0,
        )
        path = self.write("a.log", router.lines)
        _, output, _ = await command("explain", "a-1", str(path))
        self.assertIn("balance=12 balance_age_seconds=2", output)
        self.assertIn("allotment, balance: used-up, 12 since 08:00:00", output)

    async def test_json_holds_the_whole_story(self):
        path = self.write("a.log", [b"damaged\n", *process_that_refused().lines])
        _, output, _ = await command("explain", "a-1", str(path), "--json")
        explanation = json.loads(output)
        self.assertEqual(explanation["tally"], {"lines": 11, "damaged": 1})
        self.assertEqual(len(explanation["story"]["steps"]), 2)

    async def test_nothing_found_gives_code_1_and_a_missing_file_too(self):
        path = self.write("a.log", process_that_refused().lines)
        code, output, errors = await command("explain", "a-9", str(path))
        self.assertEqual((code, output), (ExitCode.FAILED, ""))
        self.assertIn("explain (a-9): nothing about this request", errors)
        code, _, errors = await command("explain", "a-1", str(path) + ".none")
        self.assertEqual(code, ExitCode.FAILED)
        self.assertIn("No such file", errors)

    async def test_reads_standard_input(self):
        with self.write("a.log", process_that_refused().lines).open("rb") as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "bluebellshore", "explain", "a-1"),
                cwd=ROOT,
                stdin=log,
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
        self.assertIn(b"2 of 10 lines", output)


if __name__ == "__main__":
    unittest.main()
