"""The whole system in one process, on loopback ports, with the stand-ins."""

import hashlib
import secrets
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import msgspec

from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Route,
    RouteKind,
    Version,
)
from bluebellshore.bundle.signing import generate_keypair, sign_bundle
from bluebellshore.bundle.store import BundleStore
from bluebellshore.ids import (
    BudgetId,
    BundleNumber,
    CustomerId,
    RouteName,
    Tokens,
    VersionName,
)
from bluebellshore.load.fleet import wait_until
from bluebellshore.platform.store import (
    BACKGROUND_CALL_TIMEOUT_SECONDS,
    PlatformStore,
    open_store,
)
from bluebellshore.porcelain import dump_state
from bluebellshore.router import Router
from bluebellshore.runtime import Role
from bluebellshore.settings import (
    EngineSettings,
    PlatformSettings,
    RouterSettings,
    ServiceSettings,
    SidecarSettings,
)
from bluebellshore.sidecar import Sidecar
from bluebellshore.standin.engine import EngineStandin
from bluebellshore.standin.platform import PlatformStandin
from bluebellshore.standin.service import ServiceStandin

__all__ = ["LocalSystem", "local_bundle", "open_local"]

CHAT = RouteName("chat")
ORDERS = RouteName("orders")
MODEL = "demo"
OLD_VERSION = VersionName("engine-v1")
NEW_VERSION = VersionName("engine-v2")
SERVICE_VERSION = VersionName("orders-v1")
DEMO_CUSTOMER = CustomerId("demo")
SMALL_CUSTOMER = CustomerId("small")
DEMO_KEY = "demo-key"
SMALL_KEY = "small-key"
DEMO_TOKENS = Tokens(1_000_000)
SMALL_TOKENS = Tokens(400)
ORDER_PRICE = Tokens(5)
ZONES = ("zone-a", "zone-b")


class _Peer(msgspec.Struct):
    connected: bool


class _RouterState(msgspec.Struct):
    sidecars: list[_Peer]


def _customer(budget: str, key: str) -> Customer:
    return Customer(BudgetId(budget), [hashlib.sha256(key.encode()).hexdigest()])


def local_bundle() -> Bundle:
    """Return the first bundle of a local system."""
    return Bundle(
        number=BundleNumber(1),
        parent=BundleNumber(0),
        customers={
            DEMO_CUSTOMER: _customer("demo", DEMO_KEY),
            SMALL_CUSTOMER: _customer("small", SMALL_KEY),
        },
        budgets={
            BudgetId("demo"): Budget(DEMO_TOKENS),
            BudgetId("small"): Budget(SMALL_TOKENS),
        },
        versions={
            OLD_VERSION: Version(concurrency=8, model=MODEL),
            NEW_VERSION: Version(concurrency=8, model=MODEL),
            SERVICE_VERSION: Version(concurrency=8),
        },
        routes={
            CHAT: Route(RouteKind.MODEL, OLD_VERSION, max_output_tokens=128),
            ORDERS: Route(
                RouteKind.SERVICE, SERVICE_VERSION, idempotent=False, price=ORDER_PRICE
            ),
        },
        comment="local system",
    )


class LocalSystem:
    """Roles of a small fleet that run on one loop.

    :param session: HTTP session of the operator's client.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.private_key, self.public_key = generate_keypair()
        self.operator_token = secrets.token_hex(8)
        self.link_token = secrets.token_hex(8)
        self.platform_url = ""
        self.platform: PlatformStore
        self.routers: list[Router] = []
        self.sidecars: list[Sidecar] = []
        self.engines: list[EngineStandin] = []
        self.service: ServiceStandin

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        return [f"http://{router.address}" for router in self.routers]

    async def submit(self, bundle: Bundle) -> None:
        """Sign a bundle and have it accepted."""
        signed = sign_bundle(bundle, self.private_key)
        await BundleStore(self.platform, self.platform).accept(signed)

    async def linked(self) -> bool:
        """Whether each router has a link to each sidecar."""
        for router in self.routers:
            dump = await dump_state(router.operator_address, self.operator_token)
            peers = msgspec.json.decode(dump, type=_RouterState).sidecars
            if sum(peer.connected for peer in peers) < len(self.sidecars):
                return False
        return True

    def role_settings(self, name: str, zone: str) -> dict[str, object]:
        """Return the settings that routers and sidecars share."""
        token_hash = hashlib.sha256(self.operator_token.encode()).hexdigest()
        return {
            "instance_id": name,
            "zone": zone,
            "platform_url": self.platform_url,
            "trust_keys": [self.public_key.hex()],
            "operator_token_hash": token_hash,
            "link_token": self.link_token,
        }


@asynccontextmanager
async def open_local(
    *,
    listen: str = "127.0.0.1:0",
    operator_listen: str = "127.0.0.1:0",
    router_count: int = 2,
) -> AsyncIterator[LocalSystem]:
    """Give a system that serves; stop it gracefully afterwards.

    :param listen: address of the first router's port for callers.
    :param operator_listen: address of the first router's operator port.
    """
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        system = LocalSystem(session)
        platform = PlatformStandin(PlatformSettings())
        await _start(stack, platform)
        system.platform_url = f"http://{platform.address}"
        system.platform = await stack.enter_async_context(
            open_store(
                system.platform_url, call_seconds=BACKGROUND_CALL_TIMEOUT_SECONDS
            )
        )
        await system.submit(local_bundle())
        await _start_backends(stack, system)
        for number in range(router_count):
            shared = system.role_settings(f"router-{number + 1}", ZONES[number % 2])
            first = {"listen": listen, "operator_listen": operator_listen}
            router = Router(RouterSettings(**shared, **({} if number else first)))
            await _start(stack, router)
            system.routers.append(router)
        await wait_until(system.linked, "links to all sidecars")
        yield system


async def _start(stack: AsyncExitStack, role: Role) -> None:
    await role.start()
    stack.push_async_callback(role.stop)


async def _start_backends(stack: AsyncExitStack, system: LocalSystem) -> None:
    for version in (OLD_VERSION, NEW_VERSION):
        engine = EngineStandin(EngineSettings(model=MODEL, version=version))
        await _start(stack, engine)
        system.engines.append(engine)
        await _start_sidecar(stack, system, engine, version, [CHAT])
    system.service = ServiceStandin(ServiceSettings())
    await _start(stack, system.service)
    await _start_sidecar(stack, system, system.service, SERVICE_VERSION, [ORDERS])


async def _start_sidecar(
    stack: AsyncExitStack,
    system: LocalSystem,
    backend: Role,
    version: VersionName,
    routes: Sequence[RouteName],
) -> None:
    number = len(system.sidecars)
    shared = system.role_settings(f"sidecar-{number + 1}", ZONES[number % 2])
    sidecar = Sidecar(
        SidecarSettings(
            **shared,
            backend_url=f"http://{backend.address}",
            backend_server=f"backend-{number + 1}",
            version=version,
            routes=list(routes),
        )
    )
    await _start(stack, sidecar)
    system.sidecars.append(sidecar)
