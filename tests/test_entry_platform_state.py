"""Tests of an entry router's copy of the platform's tables."""

import unittest

import msgspec

from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.ids import ServiceName
from bluebellshore.store import Row, TableChange, TableSnapshot, version_in_era

GRACE_SECONDS = 2.0
SERVICE = ServiceName("s")


def configuration_row(number: int, version: int) -> Row:
    value = {"version": number, "routes": [], "services": [{"name": "s"}]}
    return Row("op/config", version, msgspec.json.encode(value))


def server_row(name: str, version: int, **changes: object) -> Row:
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 1,
    }
    return Row(f"servers/{name}", version, msgspec.json.encode(value | changes))


def order_row(target: str, version: int) -> Row:
    value = {"service": "s", "target": target, "durationS": 30.0}
    return Row("op/rollout/s", version, msgspec.json.encode(value))


def change(*rows: Row, removed: dict[str, int] | None = None) -> TableChange:
    versions = [row.version for row in rows] + list((removed or {}).values())
    return TableChange(list(rows), removed or {}, max(versions, default=0))


class PlatformStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform_state = PlatformState(GRACE_SECONDS)

    def server_ids(self, now: float = 0.0) -> set[str]:
        return {s.server_id for s in self.platform_state.servers_of(SERVICE, now)}

    def test_configuration_never_goes_back(self) -> None:
        self.platform_state.apply("op", change(configuration_row(7, 5)), 0.0)
        self.platform_state.apply("op", change(configuration_row(3, 4)), 0.0)
        self.assertEqual(self.platform_state.configuration.number, 7)
        # A newer row may hold an older configuration by an operator's mistake.
        self.platform_state.apply("op", change(configuration_row(3, 9)), 0.0)
        self.assertEqual(self.platform_state.configuration.number, 7)

    def test_order_written_again_after_a_restore_begins_anew(self) -> None:
        # A version that was taken back would get requests again.
        state, restored = self.platform_state, version_in_era(1, 2)
        state.apply("op", change(order_row("v2", 5)), 0.0)
        state.apply("op", change(order_row("v2", restored)), 0.0)
        self.assertEqual(5, state.orders_by_service[SERVICE].version)
        state.apply("op", change(order_row("v2", restored + 1)), 0.0)
        self.assertEqual(restored + 1, state.orders_by_service[SERVICE].version)
        lost = TableSnapshot({}, version_in_era(2, 1))
        state.apply_snapshot("op", lost, 0.0, after_outage=True)
        again = order_row("v2", version_in_era(2, 2))
        state.apply("op", change(again), 0.0)
        self.assertEqual(restored + 1, state.orders_by_service[SERVICE].version)
        state.apply("op", change(order_row("v3", version_in_era(2, 3))), 0.0)
        self.assertEqual("v3", state.orders_by_service[SERVICE].order.target)

    def test_entry_of_a_restored_store_is_older_than_what_is_known(self) -> None:
        state = self.platform_state
        known = server_row("a", 9, state="draining", seq=7, born=3)
        state.apply("servers", change(known), 0.0)
        for number, entry in enumerate(
            ({"seq": 6, "born": 3}, {"seq": 9, "born": 2}), start=1
        ):
            row = server_row("a", version_in_era(number, 1), **entry)
            state.apply("servers", change(row), 0.0)
            self.assertEqual(set(), self.server_ids())
        restarted = server_row("a", version_in_era(2, 2), seq=1, born=4)
        state.apply("servers", change(restarted), 0.0)
        self.assertEqual({"a"}, self.server_ids())

    def test_damaged_configuration_changes_nothing(self) -> None:
        self.platform_state.apply("op", change(configuration_row(7, 5)), 0.0)
        self.platform_state.apply("op", change(Row("op/config", 6, b"{")), 0.0)
        self.assertEqual(self.platform_state.configuration.number, 7)

    def test_draining_server_takes_no_new_requests(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        self.assertEqual(self.server_ids(), {"a"})
        draining = server_row("a", 2, state="draining")
        self.platform_state.apply("servers", change(draining), 0.0)
        self.assertEqual(self.server_ids(), set())

    def test_damaged_entry_names_no_server_and_others_hold(self) -> None:
        rows = [server_row("a", 1), server_row("b", 2)]
        self.platform_state.apply("servers", change(*rows), 0.0)
        for version, damaged in enumerate(
            [
                Row("servers/a", 3, b"\xff\x00"),
                server_row("a", 4, slots="many"),
                server_row("a", 5, state="asleep"),
                server_row("a", 6, address="nowhere"),
            ]
        ):
            with self.subTest(version):
                self.platform_state.apply("servers", change(damaged), 0.0)
                self.assertEqual(self.server_ids(), {"b"})

    def test_removed_entry_is_gone_at_once_without_an_outage(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        gone = change(removed={"servers/a": 2})
        self.platform_state.apply("servers", gone, 0.0)
        self.assertEqual(self.server_ids(), set())
        self.assertIn("a", self.platform_state.restarted_or_removed)

    def test_entry_that_expired_in_an_outage_counts_for_a_grace_period(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        gone = change(removed={"servers/a": 2})
        self.platform_state.apply("servers", gone, 10.0, after_outage=True)
        self.assertEqual(self.server_ids(10.0 + GRACE_SECONDS / 2), {"a"})
        self.assertEqual(self.server_ids(10.0 + GRACE_SECONDS), set())

    def test_expired_entry_that_is_renewed_stays(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        gone = change(removed={"servers/a": 2})
        self.platform_state.apply("servers", gone, 10.0, after_outage=True)
        self.platform_state.apply("servers", change(server_row("a", 3)), 11.0)
        self.assertEqual(self.server_ids(20.0), {"a"})

    def test_stale_row_of_a_peer_does_not_bring_a_removed_server_back(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        self.platform_state.apply("servers", change(removed={"servers/a": 5}), 0.0)
        self.platform_state.apply("servers", change(server_row("a", 4)), 0.0)
        self.assertEqual(self.server_ids(), set())

    def test_snapshot_removes_what_it_lacks(self) -> None:
        rows = [server_row("a", 1), server_row("b", 2)]
        self.platform_state.apply("servers", change(*rows), 0.0)
        snapshot = TableSnapshot({"servers/b": rows[1]}, 9)
        self.platform_state.apply_snapshot("servers", snapshot, 0.0, after_outage=False)
        self.assertEqual(self.server_ids(), {"b"})
        self.assertEqual(self.platform_state.versions()["servers"], 9)

    def test_peer_gets_only_the_changes_it_lacks(self) -> None:
        rows = [server_row("a", 1), server_row("b", 2), server_row("c", 3)]
        self.platform_state.apply("servers", change(*rows), 0.0)
        self.platform_state.apply("servers", change(removed={"servers/a": 4}), 0.0)
        changes = self.platform_state.changes_since({"servers": 2, "op": -1})
        self.assertEqual(set(changes), {"servers"})
        self.assertEqual([row.key for row in changes["servers"].rows], ["servers/c"])
        self.assertEqual(changes["servers"].removed_by_key, {"servers/a": 4})
        other = PlatformState(GRACE_SECONDS)
        for table, missing in self.platform_state.changes_since({}).items():
            other.apply(table, missing, 0.0)
        self.assertEqual(
            {s.server_id for s in other.servers_of(SERVICE, 0)}, {"b", "c"}
        )

    def test_restarted_server_is_listed_as_restarted(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1, born=1000)), 0.0)
        self.platform_state.apply("servers", change(server_row("a", 2, born=1000)), 0.0)
        self.assertEqual(self.platform_state.restarted_or_removed, [])
        self.platform_state.apply("servers", change(server_row("a", 3, born=2000)), 0.0)
        self.assertEqual(self.platform_state.restarted_or_removed, ["a"])

    def test_server_whose_address_was_taken_waits_for_its_next_renewal(self) -> None:
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        self.platform_state.exclude_until_renewed("a")
        self.assertEqual(self.server_ids(), set())
        self.platform_state.apply("servers", change(server_row("a", 1)), 0.0)
        self.assertEqual(self.server_ids(), set())
        self.platform_state.apply("servers", change(server_row("a", 2)), 0.0)
        self.assertEqual(self.server_ids(), {"a"})


if __name__ == "__main__":
    unittest.main()
