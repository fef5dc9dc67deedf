"""Tests of decoding the platform's rows and the headers of requests."""

import json
import unittest

from bluebellshore.errors import PlatformError, RequestError
from bluebellshore.fleet import BackendServer, Call, RouteKind, ServerState
from bluebellshore.platform.configuration import decode_configuration
from bluebellshore.platform.requests import RequestHead, backend_headers
from bluebellshore.platform.servers import decode_rollout_order, decode_server


def make_configuration() -> dict:
    """Return a configuration with a plain, a split and a stream route."""
    return {
        "version": 31,
        "routes": [
            {
                "host": "Shop.test",
                "prefix": "/",
                "routeKind": "unsafe",
                "timeoutMs": 2500,
                "targetLatencyMs": 400,
                "service": "till",
            },
            {
                "name": "catalogue",
                "host": "shop.test",
                "prefix": "/items/",
                "routeKind": "safe",
                "timeoutMs": 1500,
                "targetLatencyMs": 200,
                "trafficSplit": [
                    {"service": "items-a", "weight": 3},
                    {"service": "items-b"},
                ],
                "maxAttempts": 0,
                "anonymous": True,
                "priority": 4,
            },
            {
                "name": "talk",
                "host": "talk.test",
                "prefix": "/v1/",
                "routeKind": "streaming",
                "timeoutMs": 20000,
                "targetLatencyMs": 600,
                "targetGapMs": 90,
                "service": "engine",
                "maxAttempts": 3,
                "sessionAffinity": True,
                "streamResumption": True,
            },
        ],
        "services": [
            {"name": "till", "healthPath": "/up", "maxConnections": 40},
            {
                "name": "engine",
                "inferenceEngine": {"slots": 8, "kvCacheTokens": 50000, "stride": 4},
            },
        ],
        "limits": {
            "maxHeaderBytes": 9000,
            "maxBodyBytes": 70000,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 30000,
        },
        "tenants": [
            {"name": "north", "apiKeys": ["k-1", "k-2"], "priority": 2},
            {"name": "south", "apiKeys": ["k-3"], "prepaid": 5000},
        ],
    }


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000


class ConfigurationTest(unittest.TestCase):
    def decode(self):
        return decode_configuration(encode(make_configuration()))

    def test_routes(self):
        configuration = self.decode()
        self.assertEqual(configuration.number, 31)
        plain, split, stream = configuration.routes
        self.assertEqual(plain.name, "Shop.test/")
        self.assertIs(plain.kind, RouteKind.UNSAFE)
        self.assertEqual((plain.timeout_seconds, plain.objective_seconds), (2.5, 0.4))
        self.assertEqual(plain.max_attempts, 1)
        self.assertFalse(plain.repeatable)
        self.assertEqual(
            [(part.service, part.weight) for part in split.services],
            [("items-a", 3.0), ("items-b", 1.0)],
        )
        self.assertEqual((split.max_attempts, split.priority), (1, 4))
        self.assertTrue(split.anonymous and split.repeatable)
        self.assertIs(stream.kind, RouteKind.STREAM)
        self.assertEqual(stream.max_event_gap_seconds, 0.09)
        self.assertTrue(stream.has_prompt and stream.resumable)

    def test_longest_prefix_of_a_host_in_any_case_wins(self):
        configuration = self.decode()
        for host, path, name in (
            ("shop.test", "/items/7", "catalogue"),
            ("SHOP.test", "/items", "Shop.test/"),
            ("shop.test", "/itemsandmore/7", "Shop.test/"),
            ("talk.test", "/v1/chat", "talk"),
        ):
            self.assertEqual(configuration.route_of(host, path).name, name)
        self.assertIsNone(configuration.route_of("talk.test", "/v2/chat"))
        self.assertIsNone(configuration.route_of("other.test", "/"))

    def test_services_customers_and_limits(self):
        configuration = self.decode()
        till = configuration.services_by_name["till"]
        self.assertEqual((till.health_path, till.max_connections), ("/up", 40))
        self.assertIsNone(till.engine)
        engine = configuration.services_by_name["engine"].engine
        self.assertEqual(
            (engine.slots, engine.cache_tokens, engine.tokens_per_event), (8, 50000, 4)
        )
        north = configuration.customer_of("k-2")
        self.assertEqual((north.customer_id, north.priority), ("north", 2))
        self.assertIsNone(north.prepaid_total)
        self.assertEqual(configuration.customer_of("k-3").prepaid_total, 5000)
        self.assertIsNone(configuration.customer_of("k-4"))
        limits = configuration.limits
        self.assertEqual((limits.header_bytes, limits.body_bytes), (9000, 70000))
        self.assertEqual((limits.header_seconds, limits.idle_seconds), (2.0, 30.0))

    def test_no_customers_differ_from_an_empty_list_of_them(self):
        fields = make_configuration()
        fields["tenants"] = []
        self.assertTrue(decode_configuration(encode(fields)).has_customers)
        del fields["tenants"]
        self.assertFalse(decode_configuration(encode(fields)).has_customers)

    def test_unknown_fields_are_ignored_everywhere(self):
        fields = make_configuration()
        parts = [fields, fields["limits"], *fields["routes"], *fields["services"]]
        for part in [
            *parts,
            *fields["tenants"],
            fields["routes"][1]["trafficSplit"][0],
        ]:
            part["novelty"] = [{"deep": None}]
        self.assertEqual(decode_configuration(encode(fields)), self.decode())

    def test_damaged_values_are_refused(self):
        def damaged(change) -> bytes:
            fields = make_configuration()
            change(fields)
            return encode(fields)

        cases = {
            "empty": b"",
            "cut": encode(make_configuration())[:-1],
            "no text": b'{"version":1,"routes":"\xff"}',
            "list": b"[]",
            "no number": damaged(lambda fields: fields.pop("version")),
            "text number": damaged(lambda fields: fields.update(version="31")),
            "kind": damaged(lambda fields: fields["routes"][0].update(routeKind="x")),
            "time": damaged(lambda fields: fields["routes"][0].update(timeoutMs=None)),
            "key": damaged(lambda fields: fields["tenants"][0].update(apiKeys=[5])),
            "nested": encode(make_configuration())[:-1] + b',"x":%b}' % DEEPLY_NESTED,
            "64 bits": damaged(lambda fields: fields.update(version=2**64)),
            "negative": damaged(lambda fields: fields.update(version=-1)),
        }
        for name, value in cases.items():
            with self.subTest(name), self.assertRaises(PlatformError) as caught:
                decode_configuration(value)
            self.assertEqual(caught.exception.step, "configuration.decode")


class ServerTest(unittest.TestCase):
    ENTRY = {
        "service": "engine",
        "address": "10.9.4.2:9000",
        "zone": "west-a",
        "version": "v3",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 1500,
        "seq": 12,
        "born": 1_800_000_000_123,
    }

    def decode(self, **changes) -> BackendServer:
        return decode_server("s-4", encode({**self.ENTRY, **changes}))

    def test_all_fields(self):
        server = self.decode()
        self.assertEqual((server.server_id, server.service), ("s-4", "engine"))
        self.assertEqual(server.address, "10.9.4.2:9000")
        self.assertEqual((server.zone, server.version), ("west-a", "v3"))
        self.assertEqual((server.slots, server.warmup_seconds), (8, 1.5))
        self.assertIs(server.state, ServerState.READY)
        self.assertEqual(server.started_unix_ms, 1_800_000_000_123)

    def test_draining_warm_entry_and_one_without_start_time(self):
        server = self.decode(state="draining", coldRemainingMs=-3)
        self.assertIs(server.state, ServerState.DRAINING)
        self.assertEqual(server.warmup_seconds, 0.0)
        entry = {name: self.ENTRY[name] for name in self.ENTRY if name != "born"}
        self.assertEqual(decode_server("s-4", encode(entry)).started_unix_ms, 0)

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(self.decode(novelty={"a": [1]}), self.decode())

    def test_damaged_entry_names_no_server(self):
        for changes in (
            {"address": "10.9.4.2"},
            {"address": ":9000"},
            {"address": "10.9.4.2:http"},
            {"address": "10.9.4.2:"},
            {"slots": 0},
            {"slots": "8"},
            {"state": "asleep"},
            {"service": None},
            {"zone": 5},
        ):
            with self.subTest(changes), self.assertRaises(PlatformError) as caught:
                self.decode(**changes)
            self.assertEqual(caught.exception.peer, "s-4")

    def test_odd_entry_ends_the_router_that_reads_it(self):
        for name, value in {
            "nested": encode(self.ENTRY)[:-1] + b',"novelty":%b}' % DEEPLY_NESTED,
            "nested known field": encode(self.ENTRY).replace(b'"v3"', DEEPLY_NESTED),
            "10^30 slots": encode({**self.ENTRY, "slots": 10**30}),
            "many digits": encode(self.ENTRY).replace(b" 8", b" " + b"9" * 9999),
            "port of many digits": encode(
                {**self.ENTRY, "address": "10.9.4.2:" + "9" * 9999}
            ),
            "start after 64 bits": encode({**self.ENTRY, "born": 2**64}),
            "start before 1970": encode({**self.ENTRY, "born": -1}),
            "renewals after 64 bits": encode({**self.ENTRY, "seq": 2**64}),
            "no time to warm up": encode({**self.ENTRY, "coldRemainingMs": 1e300}),
        }.items():
            with self.subTest(name), self.assertRaises(PlatformError) as caught:
                decode_server("s-4", value)
            self.assertEqual("s-4", caught.exception.peer)

    def test_entry_with_an_impossible_address_names_a_server(self):
        for address in (
            "10.9.4.2:0",
            "10.9.4.2:-3",
            "10.9.4.2:99999",
            "10.9.4.2:9_000",
            "10.9.4.2: 9000",
            "10.9.4.2:\u0669",
            "10.9.4.2\0:9000",
            "10.9.4.2\r\nX-Tenant: north:9000",
            "some host:9000",
            "10.9.4.256:9000",
            " :9000",
        ):
            with self.subTest(address), self.assertRaises(PlatformError):
                self.decode(address=address)

    def test_control_characters_in_an_entry_reach_requests(self):
        for field in ("service", "zone", "version"):
            for text in ("a\r\nX-Tenant: north", "a\n", "a\0b", "", "a" * 300):
                with self.subTest(field, text=text), self.assertRaises(PlatformError):
                    self.decode(**{field: text})
        for server_id in ("", "s\r\n4", "s\0"):
            with self.subTest(server_id), self.assertRaises(PlatformError):
                decode_server(server_id, encode(self.ENTRY))

    def test_entry_cut_anywhere_names_no_server(self):
        value = encode(self.ENTRY)
        for end in range(len(value)):
            with self.assertRaises(PlatformError):
                decode_server("s-4", value[:end])

    def test_rollout_order(self):
        fields = {"service": "engine", "target": "v4", "durationS": 45, "new": 1}
        order = decode_rollout_order(encode(fields))
        self.assertEqual((order.service, order.target), ("engine", "v4"))
        self.assertEqual(order.seconds, 45.0)
        for name in ("service", "target", "durationS"):
            with self.assertRaises(PlatformError):
                decode_rollout_order(encode({**fields, name: None}))

    def test_odd_rollout_order_ends_the_router_that_reads_it(self):
        fields = {"service": "engine", "target": "v4", "durationS": 45}
        for name, value in {
            "nested": encode(fields)[:-1] + b',"new":%b}' % DEEPLY_NESTED,
            "nested known field": encode(fields).replace(b"45", DEEPLY_NESTED),
            "no time": encode({**fields, "durationS": -1}),
            "endless": encode({**fields, "durationS": 1e300}),
            "no target": encode({**fields, "target": ""}),
        }.items():
            with self.subTest(name), self.assertRaises(PlatformError):
                decode_rollout_order(value)


class RequestHeadTest(unittest.TestCase):
    HEADERS = (
        ("X-Attempt-Id", "a-17"),
        ("X-Api-Key", "k-1"),
        ("X-Deadline-Ms", "2500"),
        ("X-Model", "m-1"),
        ("X-Token-Usage", "300,120"),
        ("X-Prompt-Prefix", "p-9:100, p-2:50"),
        ("Last-Event-Id", "e-5"),
        ("Content-Type", "text/plain"),
    )

    def decode(self, *more: tuple[str, str]) -> RequestHead:
        return RequestHead.decode([*self.HEADERS, *more])

    def changed(self, name: str, value: str) -> RequestHead:
        headers = [item for item in self.HEADERS if item[0] != name]
        return RequestHead.decode([*headers, (name, value)])

    def test_all_headers(self):
        head = self.decode()
        self.assertEqual((head.attempt_id, head.api_keys), ("a-17", ["k-1"]))
        self.assertEqual((head.deadline_seconds, head.model), (2.5, "m-1"))
        self.assertEqual(head.prompt, (("p-9", 100), ("p-2", 50)))
        self.assertEqual((head.prompt_tokens, head.max_output_tokens), (300, 120))
        self.assertEqual(head.last_event_id, "e-5")

    def test_only_the_attempt_id_is_required(self):
        head = RequestHead.decode([("x-attempt-id", "a-1")])
        self.assertIsNone(head.deadline_seconds)
        self.assertEqual((head.api_keys, head.prompt, head.prompt_tokens), ([], (), 0))
        for headers in ([], [("X-Attempt-Id", " ")]):
            with self.assertRaises(RequestError):
                RequestHead.decode(headers)

    def test_headers_that_callers_may_not_set_are_not_forwarded(self):
        forged = (
            "X-Tenant",
            "x-request-priority",
            "X-Expected-Runner",
            "X-Runner-Signature",
            "X-Not-Executed",
            "KV-From",
        )
        head = self.decode(*((name, "forged") for name in forged))
        names = {name.lower() for name, _ in head.forwarded_headers}
        self.assertFalse(names & {name.lower() for name in forged})
        self.assertNotIn("x-api-key", names)
        self.assertNotIn("x-deadline-ms", names)
        self.assertLessEqual({"x-attempt-id", "x-model", "content-type"}, names)

    def test_headers_of_the_connection_are_not_forwarded(self):
        head = self.decode(
            ("Connection", "close, X-Hop, X-Model"),
            ("X-Hop", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Expect", "100-continue"),
        )
        names = {name.lower() for name, _ in head.forwarded_headers}
        self.assertFalse(names & {"connection", "x-hop", "transfer-encoding", "expect"})
        self.assertIn("x-model", names)

    def test_malformed_headers_are_refused(self):
        for name, value in (
            ("X-Deadline-Ms", "soon"),
            ("X-Deadline-Ms", "-1"),
            ("X-Deadline-Ms", "nan"),
            ("X-Deadline-Ms", "inf"),
            ("X-Token-Usage", "5"),
            ("X-Token-Usage", "1,2,3"),
            ("X-Token-Usage", "1,"),
            ("X-Prompt-Prefix", "p-1"),
            ("X-Prompt-Prefix", "p-1:x"),
            ("X-Prompt-Prefix", "p-1:5,"),
        ):
            with self.subTest(name, value=value), self.assertRaises(RequestError):
                self.changed(name, value)

    def test_header_that_is_read_and_given_twice_is_refused(self):
        for name in ("x-attempt-id", "X-Deadline-Ms", "X-Token-Usage"):
            with self.subTest(name), self.assertRaises(RequestError):
                self.decode((name, "1"))

    def test_every_api_key_is_returned(self):
        self.assertEqual(self.decode(("x-api-key", "k-2")).api_keys, ["k-1", "k-2"])


class BackendHeadersTest(unittest.TestCase):
    SERVER = BackendServer("s-4", "engine", "10.9.4.2", 9000)

    def headers(self, seconds: float = 1.2345, event: str = "", **changes) -> dict:
        route = decode_configuration(encode(make_configuration())).routes[2]
        call = Call(
            attempt_id="a-17",
            method="POST",
            target="/v1/chat",
            headers=[("X-Attempt-Id", "a-17"), ("Last-Event-ID", "e-5")],
            body=b"",
            route=route,
            customer=changes.pop("customer", "north"),
            priority=changes.pop("priority", 3),
            received_at=0.0,
            deadline=9.0,
            **changes,
        )
        pairs = backend_headers(call, self.SERVER, seconds, event)
        self.assertEqual(len(pairs), len({name.lower() for name, _ in pairs}))
        return {name.lower(): value for name, value in pairs}

    def test_fleet_sets_its_own_headers(self):
        headers = self.headers(prompt_tokens=50, event="e-8")
        self.assertEqual(headers["x-attempt-id"], "a-17")
        self.assertEqual(headers["x-deadline-ms"], "1234")
        self.assertEqual(headers["x-expected-runner"], "s-4")
        self.assertEqual(headers["x-tenant"], "north")
        self.assertEqual(headers["x-request-priority"], "3")
        self.assertEqual(headers["last-event-id"], "e-8")

    def test_start_of_a_stream_has_no_position(self):
        self.assertNotIn("last-event-id", self.headers())

    def test_priority_stays_in_range_and_goes_with_prompts_only(self):
        headers = self.headers(prompt_tokens=1, priority=40)
        self.assertEqual(headers["x-request-priority"], "9")
        self.assertNotIn("x-request-priority", self.headers())

    def test_anonymous_call_names_no_customer_and_waits_a_millisecond_at_least(self):
        headers = self.headers(seconds=-1.0, customer=None)
        self.assertNotIn("x-tenant", headers)
        self.assertEqual(headers["x-deadline-ms"], "1")


if __name__ == "__main__":
    unittest.main()
