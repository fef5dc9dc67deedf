"""Sign bundles and verify their Ed25519 signatures."""

import hashlib
from collections.abc import Iterable

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from bluebellshore.bundle.checks import check_bundle
from bluebellshore.bundle.delta import canonical_payload
from bluebellshore.bundle.model import Bundle, SignedBundle
from bluebellshore.errors import BundleError

__all__ = [
    "Verifier",
    "decode_payload",
    "generate_keypair",
    "key_id_of",
    "sign_bundle",
]

KEY_ID_DIGITS = 16

_bundle_decoder = msgspec.json.Decoder(Bundle)


def decode_payload(payload: bytes) -> Bundle:
    """Decode the payload of a signed bundle without checking its content.

    :raises BundleError: malformed bytes.
    """
    try:
        return _bundle_decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BundleError([str(error)], step="bundle.decode") from None


def generate_keypair() -> tuple[bytes, bytes]:
    """Return a new private key and its public key, 32 raw bytes each."""
    private = Ed25519PrivateKey.generate()
    return private.private_bytes_raw(), private.public_key().public_bytes_raw()


def key_id_of(public_key: bytes) -> str:
    """Return the id of a public key, as in :attr:`SignedBundle.key_id`."""
    return hashlib.sha256(public_key).hexdigest()[:KEY_ID_DIGITS]


def sign_bundle(bundle: Bundle, private_key: bytes) -> SignedBundle:
    """Sign the canonical payload of `bundle`.

    :param private_key: 32 raw bytes.
    """
    private = Ed25519PrivateKey.from_private_bytes(private_key)
    payload = canonical_payload(bundle)
    return SignedBundle(
        number=bundle.number,
        payload=payload,
        key_id=key_id_of(private.public_key().public_bytes_raw()),
        signature=private.sign(payload),
    )


class Verifier:
    """Verify signed bundles with a set of trusted public keys.

    :param public_keys: the trusted keys, 32 raw bytes each.
    """

    def __init__(self, public_keys: Iterable[bytes]):
        self._keys_by_id = {
            key_id_of(key): Ed25519PublicKey.from_public_bytes(key)
            for key in public_keys
        }

    def check_key(self, key_id: str) -> None:
        """Check that the key with this id is trusted.

        :raises BundleError: the key is not trusted.
        """
        if key_id not in self._keys_by_id:
            problem = f"key_id: {key_id[:KEY_ID_DIGITS]!r} is not trusted"
            raise BundleError([problem], step="bundle.verify")

    def verify_signature(self, signed: SignedBundle) -> None:
        """Check the signature of `signed`, but not its payload.

        :raises BundleError: the key is not trusted or the signature is invalid.
        """
        self.check_key(signed.key_id)
        key = self._keys_by_id[signed.key_id]
        try:
            key.verify(signed.signature, signed.payload)
        except InvalidSignature:
            raise BundleError(
                ["signature: does not match the payload"], step="bundle.verify"
            ) from None

    def verify(self, signed: SignedBundle) -> Bundle:
        """Check the signature, encoding and content of `signed`.

        :return: the decoded bundle.
        :raises BundleError: the signature is invalid, the payload is malformed, or the
            content has problems, which are all listed.
        """
        self.verify_signature(signed)
        bundle = decode_payload(signed.payload)
        problems = check_bundle(bundle)
        if signed.number != bundle.number:
            problems.append(f"number: {signed.number}, payload has {bundle.number}")
        if canonical_payload(bundle) != signed.payload:
            problems.append("payload: not in canonical form")
        if problems:
            raise BundleError(problems, step="bundle.verify")
        return bundle
