"""Bundles: signed and numbered documents that configure the fleet."""

from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.bundle.model import Bundle, SignedBundle
from bluebellshore.bundle.signing import (
    Verifier,
    generate_keypair,
    key_id_of,
    sign_bundle,
)
from bluebellshore.bundle.store import BundleStore

__all__ = [
    "Bundle",
    "BundleKeeper",
    "BundleStore",
    "SignedBundle",
    "Verifier",
    "generate_keypair",
    "key_id_of",
    "sign_bundle",
]
