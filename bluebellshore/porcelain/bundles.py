"""Keys and bundles: generate, check, sign and submit."""

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path

import msgspec

from bluebellshore.bundle.format import encode_signed, load_bundle, load_signed
from bluebellshore.bundle.model import Bundle
from bluebellshore.bundle.signing import (
    Verifier,
    generate_keypair,
    key_id_of,
    sign_bundle,
)
from bluebellshore.bundle.store import BundleStore
from bluebellshore.errors import BluebellshoreError, PlatformError
from bluebellshore.ids import BundleNumber, InstanceId
from bluebellshore.platform.store import PlatformStore
from bluebellshore.porcelain.clients import open_platform, request
from bluebellshore.settings import SubmitSettings
from bluebellshore.store import TableInstances
from bluebellshore.store.interface import Instance, InstanceRole

__all__ = [
    "KeyView",
    "Submitted",
    "check_file",
    "generate_key",
    "sign_file",
    "submit_file",
]

PRIVATE_KEY_BYTES = 32


class KeyView(msgspec.Struct):
    """A new key pair, without its private part."""

    public_key: str
    key_id: str
    private_key_file: str


class Submitted(msgspec.Struct):
    """What became of a submitted bundle.

    :param warnings: routers that could not be told at once; they read the table.
    """

    number: BundleNumber
    offered_to: list[InstanceId]
    warnings: list[str]


def generate_key(path: Path) -> KeyView:
    """Write a new private key to `path`, which must not exist.

    :raises BluebellshoreError: the file exists or cannot be written.
    """
    private, public = generate_keypair()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, 0o600), "w") as file:
            file.write(private.hex() + "\n")
    except OSError as error:
        reason = error.strerror or str(error)
        raise BluebellshoreError(reason, step="key.write", peer=str(path)) from None
    return KeyView(public.hex(), key_id_of(public), str(path))


def _read_private_key(path: Path) -> bytes:
    try:
        private = bytes.fromhex(path.read_text().strip())
    except OSError as error:
        reason = error.strerror or str(error)
        raise BluebellshoreError(reason, step="key.read", peer=str(path)) from None
    except ValueError:
        private = b""
    if len(private) != PRIVATE_KEY_BYTES:
        message = "expected a private key of 64 hex digits"
        raise BluebellshoreError(message, step="key.read", peer=str(path))
    return private


def check_file(path: Path) -> Bundle:
    """Read and check a bundle file.

    :raises BundleError: names every problem.
    """
    return load_bundle(path)


def sign_file(path: Path, key_path: Path, output: Path) -> BundleNumber:
    """Check the bundle file `path` and write it signed to `output`.

    :return: the bundle's number.
    """
    bundle = load_bundle(path)
    signed = sign_bundle(bundle, _read_private_key(key_path))
    try:
        output.write_bytes(encode_signed(signed))
    except OSError as error:
        reason = error.strerror or str(error)
        raise BluebellshoreError(
            reason, step="bundle.write", peer=str(output)
        ) from None
    return signed.number


async def submit_file(path: Path, settings: SubmitSettings) -> Submitted:
    """Have a signed bundle accepted, then tell the routers.

    :raises BundleError: refused, with every reason.
    :raises BundleConflictError: another operator's bundle came first.
    """
    signed = load_signed(path)
    verifier = Verifier(bytes.fromhex(key) for key in settings.trust_keys)
    async with open_platform(settings.platform_url) as platform:
        store = BundleStore(platform, platform, verifier=verifier)
        await store.accept(signed)
        try:
            update = await store.update(signed.number)
            routers = await _routers(platform)
        except PlatformError as error:
            return Submitted(signed.number, [], [str(error)])
    return await _offer(signed.number, update, routers, settings.operator_token)


async def _routers(platform: PlatformStore) -> list[Instance]:
    instances = await TableInstances(platform).fetch()
    return [i for i in instances if i.role is InstanceRole.ROUTER]


async def _offer(
    number: BundleNumber, update: bytes, routers: Sequence[Instance], token: str
) -> Submitted:
    async def offer_to(router: Instance) -> str:
        url = f"http://{router.address}/bundle"
        try:
            await request("POST", url, token, "bundle.offer", update)
        except BluebellshoreError as error:
            return str(error)
        return ""

    problems = await asyncio.gather(*(offer_to(router) for router in routers))
    told = [
        router.instance_id
        for router, problem in zip(routers, problems, strict=True)
        if not problem
    ]
    return Submitted(number, told, [problem for problem in problems if problem])
