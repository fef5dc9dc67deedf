"""Tests of bundle signatures, deltas and the bundle keeper."""

import hashlib
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.bundle import BundleKeeper, Verifier, generate_keypair, sign_bundle
from bluebellshore.bundle.delta import (
    apply_changes,
    canonical_payload,
    decode_update,
    diff_bundles,
    encode_update,
    snapshot_of,
)
from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Route,
    RouteKind,
    Version,
)
from bluebellshore.errors import BundleError

PRIVATE, PUBLIC = generate_keypair()
VERIFIER = Verifier([PUBLIC])


def key_hash(bearer: str) -> str:
    return hashlib.sha256(bearer.encode()).hexdigest()


def make_bundle(number=1, total=100, bearer="key", **fields) -> Bundle:
    content = {
        "customers": {"fes": Customer(budget="fes", key_hashes=[key_hash(bearer)])},
        "budgets": {"fes": Budget(prepaid_total=total)},
        "versions": {"a1": Version(concurrency=4, model="a")},
        "routes": {"chat": Route(kind=RouteKind.MODEL, version="a1")},
    }
    return Bundle(number=number, parent=number - 1, **(content | fields))


def encoded_snapshot(bundle: Bundle, private=PRIVATE) -> bytes:
    return encode_update(snapshot_of(sign_bundle(bundle, private)))


def keeper_after(*bundles: Bundle) -> BundleKeeper:
    keeper = BundleKeeper(VERIFIER)
    for bundle in bundles:
        assert keeper.offer(encoded_snapshot(bundle))
    return keeper


class VerifierTest(unittest.TestCase):
    def test_refuses_unknown_key_changed_payload_and_other_form(self):
        signed = sign_bundle(make_bundle(), PRIVATE)
        changed = msgspec.structs.replace(signed, payload=signed.payload + b" ")
        unknown = sign_bundle(make_bundle(), generate_keypair()[0])
        for refused in (changed, unknown):
            with self.assertRaises(BundleError):
                VERIFIER.verify(refused)
        self.assertEqual(VERIFIER.verify(signed), make_bundle())

    def test_names_all_problems_with_their_paths(self):
        bundle = make_bundle(
            number=3,
            budgets={"fes": Budget(prepaid_total=-1)},
            routes={"chat": Route(kind=RouteKind.MODEL, version="x")},
        )
        with self.assertRaises(BundleError) as caught:
            VERIFIER.verify(sign_bundle(bundle, PRIVATE))
        problems = " ".join(caught.exception.problems)
        self.assertIn("budgets.fes.prepaid_total", problems)
        self.assertIn("routes.chat.version", problems)


class KeeperTest(unittest.TestCase):
    def test_never_goes_back(self):
        keeper = keeper_after(make_bundle(1), make_bundle(2, total=200))
        self.assertFalse(keeper.offer(encoded_snapshot(make_bundle(1))))
        self.assertFalse(keeper.offer(encoded_snapshot(make_bundle(2, total=1))))
        self.assertEqual(keeper.current.budgets["fes"].prepaid_total, 200)

    def test_delta_carries_key_changes(self):
        sender = keeper_after(make_bundle(1, bearer="old"))
        receiver = keeper_after(make_bundle(1, bearer="old"))
        sender.offer(encoded_snapshot(make_bundle(2, bearer="new")))
        update = sender.update_for(1)
        self.assertEqual(type(decode_update(update)).__name__, "Delta")
        self.assertTrue(receiver.offer(update))
        self.assertIsNone(receiver.customer_for_key("old"))
        self.assertEqual(receiver.customer_for_key("new"), "fes")
        self.assertEqual(receiver.signed, sender.signed)
        self.assertIsNone(sender.update_for(2))

    def test_delta_over_several_bundles_fits_a_holder_in_between(self):
        chain = [make_bundle(n, total=100 * n) for n in range(1, 6)]
        sender = keeper_after(*chain)
        receiver = keeper_after(*chain[:3])
        self.assertTrue(receiver.offer(sender.update_for(1)))
        self.assertEqual(receiver.number, 5)

    def test_delta_that_does_not_fit_leads_to_a_snapshot(self):
        sender = keeper_after(make_bundle(1), make_bundle(2, total=200))
        receiver = keeper_after(make_bundle(1, bearer="forked"))
        self.assertFalse(receiver.offer(sender.update_for(receiver.advertised_number)))
        self.assertEqual((receiver.number, receiver.advertised_number), (1, 0))
        self.assertTrue(receiver.offer(sender.update_for(receiver.advertised_number)))
        self.assertEqual((receiver.number, receiver.advertised_number), (2, 2))

    def test_asks_for_a_snapshot_no_more_than_once_from_an_older_peer(self):
        older = keeper_after(make_bundle(1), make_bundle(2))
        receiver = keeper_after(make_bundle(1), make_bundle(2, bearer="forked"))
        newer = keeper_after(make_bundle(2), make_bundle(3))
        receiver.offer(newer.update_for(2))
        self.assertEqual(receiver.advertised_number, 0)
        receiver.offer(older.update_for(0))
        self.assertEqual(receiver.advertised_number, 2)

    def test_faulty_subscriber_does_not_stop_the_others(self):
        keeper = BundleKeeper(VERIFIER)
        seen = []
        keeper.subscribe(lambda bundle: 1 / 0)
        keeper.subscribe(seen.append)
        self.assertTrue(keeper.offer(encoded_snapshot(make_bundle())))
        self.assertEqual([bundle.number for bundle in seen], [1])


BUDGET_MAPS = st.dictionaries(
    st.sampled_from(["fes", "north", "south"]),
    st.builds(Budget, prepaid_total=st.integers(0, 10**12)),
).map(lambda budgets: {"fes": Budget(prepaid_total=1)} | budgets)
REPRODUCIBLE = settings(derandomize=True, max_examples=60, deadline=None, database=None)


class KeeperPropertyTest(unittest.TestCase):
    @REPRODUCIBLE
    @given(st.lists(BUDGET_MAPS, min_size=2, max_size=6), st.data())
    def test_any_delta_leads_to_the_signed_payload(self, states, data):
        chain = [make_bundle(n, budgets=b) for n, b in enumerate(states, 1)]
        sender = keeper_after(*chain)
        start = data.draw(st.integers(1, len(chain)))
        receiver = keeper_after(chain[start - 1])
        update = sender.update_for(start)
        self.assertEqual(update is None, start == len(chain))
        self.assertEqual(update is not None and receiver.offer(update), bool(update))
        self.assertEqual(receiver.signed, sender.signed)
        changes = diff_bundles(chain[0], chain[-1])
        merged = apply_changes(chain[0], [changes])
        self.assertEqual(canonical_payload(merged), canonical_payload(chain[-1]))

    @REPRODUCIBLE
    @given(st.binary(max_size=200))
    def test_noise_is_refused(self, noise):
        keeper = keeper_after(make_bundle())
        self.assertFalse(keeper.offer(noise))
        self.assertEqual(keeper.number, 1)

    @REPRODUCIBLE
    @given(st.booleans(), st.integers(0), st.integers(1, 255))
    def test_a_changed_byte_is_refused_or_harmless(self, delta, position, xor_mask):
        keeper = keeper_after(make_bundle())
        sender = keeper_after(make_bundle(), make_bundle(2, total=300))
        update = bytearray(sender.update_for(1 if delta else 0))
        update[position % len(update)] ^= xor_mask
        if keeper.offer(bytes(update)):
            self.assertEqual(keeper.signed, sender.signed)
        else:
            self.assertEqual(keeper.number, 1)
            self.assertTrue(keeper.offer(sender.update_for(0)))
