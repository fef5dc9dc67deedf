"""Keys of rows, made to fit."""

import hashlib

from bluebellshore.store.interface import MAX_KEY_BYTES

__all__ = ["shorten_key"]

DIGEST_CHARACTERS = 64


def shorten_key(key: str) -> str:
    """Return `key`, or a shorter one that stands for it alone when it is too long.

    A short key stays as it is, so that the rows of most keys can be read by eye.
    """
    encoded = key.encode()
    if len(encoded) <= MAX_KEY_BYTES:
        return key
    digest = hashlib.sha256(encoded).hexdigest()
    # The mark takes a byte; a character that is cut in two is left out.
    kept = encoded[: MAX_KEY_BYTES - DIGEST_CHARACTERS - 1].decode(errors="ignore")
    return f"{kept}~{digest}"
