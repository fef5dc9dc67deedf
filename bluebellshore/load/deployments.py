"""The two deployments of today, at their real sizes, as fleets of processes."""

import asyncio
import hashlib
import itertools
from collections.abc import Mapping

import msgspec

from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Move,
    Priority,
    Route,
    RouteKind,
    Version,
)
from bluebellshore.ids import (
    BudgetId,
    BundleNumber,
    CustomerId,
    MoveId,
    RouteName,
    Tokens,
    VersionName,
)
from bluebellshore.load.fleet import Fleet, wait_until
from bluebellshore.load.process import ManagedProcess
from bluebellshore.load.results import CallKind

__all__ = [
    "ATLAS_CADRAN",
    "DEPLOYMENTS_BY_NAME",
    "STALPENI",
    "Deployment",
    "Mix",
    "RunningDeployment",
    "bearer_of",
    "first_bundle",
    "start_deployment",
]

MODEL = "model"
MODEL_VERSION = VersionName("model-v1")
SERVICE_VERSION = VersionName("parts-v1")
SERVICE_PRICE = Tokens(5)
ENGINE_CONCURRENCY = 8
ENGINE_CAPACITY = 12
SERVICE_CONCURRENCY = 16
ROUTERS = 3


class Mix(msgspec.Struct, frozen=True):
    """One kind of request in a deployment's traffic.

    :param share: share of all arrivals.
    :param max_tokens: length of a model's answer.
    :param slow_share: share of these callers that read slowly.
    """

    kind: CallKind
    route: RouteName
    share: float
    max_tokens: int = 32
    slow_share: float = 0.0


class Deployment(msgspec.Struct, frozen=True):
    """Size and traffic of one deployment.

    :param one_way_seconds: network delay between its zones.
    :param weights_by_customer: share of the arrivals, in parts.
    """

    name: str
    zones: list[str]
    one_way_seconds: float
    engines: int
    services: int
    weights_by_customer: dict[CustomerId, int]
    routes: dict[RouteName, Route]
    mix: list[Mix]

    def engine_routes(self) -> list[str]:
        """Return the routes of model engines."""
        return self._routes_of(RouteKind.MODEL)

    def service_routes(self) -> list[str]:
        """Return the routes of plain services."""
        return self._routes_of(RouteKind.SERVICE)

    def _routes_of(self, kind: RouteKind) -> list[str]:
        return [name for name, route in self.routes.items() if route.kind is kind]


def _customers(prefix: str) -> dict[CustomerId, int]:
    weights = (12, 8, 6, 1, 1, 1, 1, 1, 1, 1)
    return {CustomerId(f"{prefix}-{n}"): w for n, w in enumerate(weights, start=1)}


def _model_route(priority: Priority) -> Route:
    return Route(
        kind=RouteKind.MODEL,
        version=MODEL_VERSION,
        priority=priority,
        max_output_tokens=256,
    )


def _service_route() -> Route:
    return Route(
        kind=RouteKind.SERVICE,
        version=SERVICE_VERSION,
        idempotent=False,
        price=SERVICE_PRICE,
    )


ASSISTANT = RouteName("assistant")
BRIEFS = RouteName("briefs")
CHAT = RouteName("chat")
ORDERS = RouteName("orders")
PARTS = RouteName("parts")
PLANS = RouteName("plans")

ATLAS_CADRAN = Deployment(
    name="atlas-cadran",
    zones=["fes-a", "fes-b", "fes-c"],
    one_way_seconds=0.001,
    engines=5,
    services=3,
    weights_by_customer=_customers("bench"),
    routes={
        ASSISTANT: _model_route(Priority.INTERACTIVE),
        PLANS: _model_route(Priority.DEFERRED),
        PARTS: _service_route(),
    },
    mix=[
        Mix(CallKind.CHAT, ASSISTANT, 0.35, max_tokens=32),
        Mix(CallKind.CHAT, ASSISTANT, 0.25, max_tokens=128, slow_share=0.5),
        Mix(CallKind.DEFERRED, PLANS, 0.1, max_tokens=96),
        Mix(CallKind.ORDER, PARTS, 0.1),
        Mix(CallKind.STOCK, PARTS, 0.2),
    ],
)

STALPENI = Deployment(
    name="stalpeni",
    zones=["arges-a", "arges-b", "arges-c", "arges-d"],
    one_way_seconds=0.0015,
    engines=9,
    services=4,
    weights_by_customer=_customers("franchise"),
    routes={
        CHAT: _model_route(Priority.INTERACTIVE),
        BRIEFS: _model_route(Priority.NORMAL),
        PLANS: _model_route(Priority.DEFERRED),
        ORDERS: _service_route(),
    },
    mix=[
        Mix(CallKind.CHAT, CHAT, 0.3, max_tokens=24),
        Mix(CallKind.CHAT, BRIEFS, 0.2, max_tokens=64, slow_share=0.1),
        Mix(CallKind.DEFERRED, PLANS, 0.15, max_tokens=96),
        Mix(CallKind.ORDER, ORDERS, 0.15),
        Mix(CallKind.STOCK, ORDERS, 0.2),
    ],
)

DEPLOYMENTS_BY_NAME = {d.name: d for d in (ATLAS_CADRAN, STALPENI)}


def bearer_of(customer: CustomerId) -> str:
    """Return the bearer key of a customer in load runs."""
    return f"key-of-{customer}"


def first_bundle(
    deployment: Deployment,
    *,
    prepaid_per_weight: int = 10_000_000,
    moves: Mapping[MoveId, Move] | None = None,
    more_versions: Mapping[VersionName, Version] | None = None,
) -> Bundle:
    """Return the first bundle of a deployment.

    :param prepaid_per_weight: prepaid tokens for each part of a customer's weight.
    """
    weights = deployment.weights_by_customer
    versions = {
        MODEL_VERSION: Version(concurrency=ENGINE_CONCURRENCY, model=MODEL),
        SERVICE_VERSION: Version(concurrency=SERVICE_CONCURRENCY),
    }
    return Bundle(
        number=BundleNumber(1),
        parent=BundleNumber(0),
        customers={
            customer: Customer(
                budget=BudgetId(customer),
                key_hashes=[hashlib.sha256(bearer_of(customer).encode()).hexdigest()],
            )
            for customer in weights
        },
        budgets={
            BudgetId(customer): Budget(Tokens(prepaid_per_weight * weight))
            for customer, weight in weights.items()
        },
        versions=versions | dict(more_versions or {}),
        routes=dict(deployment.routes),
        moves=dict(moves or {}),
    )


class RunningDeployment:
    """Processes of a deployment by what they do."""

    def __init__(self, fleet: Fleet, deployment: Deployment):
        self.fleet = fleet
        self.deployment = deployment
        self.routers: list[ManagedProcess] = []
        self.sidecars: list[ManagedProcess] = []
        self.engines: list[ManagedProcess] = []
        self.services: list[ManagedProcess] = []
        self._zones = itertools.cycle(deployment.zones)

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        current = (self.fleet.by_name[router.name] for router in self.routers)
        return [f"http://{router.address}" for router in current]

    async def add_engine(
        self,
        version: str = MODEL_VERSION,
        *,
        through_proxy: bool = False,
        **settings: object,
    ) -> ManagedProcess:
        """Start an engine and its sidecar."""
        engine = await self.fleet.start_engine(
            version=version, **{"model": MODEL, "capacity": ENGINE_CAPACITY} | settings
        )
        self.engines.append(engine)
        sidecar = await self.fleet.start_sidecar(
            engine,
            version,
            self.deployment.engine_routes(),
            next(self._zones),
            through_proxy=through_proxy,
        )
        self.sidecars.append(sidecar)
        return engine

    async def add_service(self, *, through_proxy: bool = False) -> ManagedProcess:
        """Start a plain service and its sidecar."""
        service = await self.fleet.start_service()
        self.services.append(service)
        sidecar = await self.fleet.start_sidecar(
            service,
            SERVICE_VERSION,
            self.deployment.service_routes(),
            next(self._zones),
            through_proxy=through_proxy,
        )
        self.sidecars.append(sidecar)
        return service

    async def delay_links(self) -> None:
        """Delay all links that pass a proxy by the deployment's network delay."""
        delay = {"delay_seconds": self.deployment.one_way_seconds}
        for proxy in self.fleet.proxies_by_name.values():
            await self.fleet.control(proxy, "faults", {"up": delay, "down": delay})

    async def add_router(self, **settings: object) -> ManagedProcess:
        """Start a router."""
        router = await self.fleet.start_router(next(self._zones), **settings)
        self.routers.append(router)
        return router

    async def wait_linked(self) -> None:
        """Wait until every router uses every sidecar with the newest bundle."""
        await wait_until(self._all_linked, "links of all routers to all sidecars")

    async def _all_linked(self) -> bool:
        for router in self.routers:
            state = await self.fleet.state_of(router.name)
            connected = [s for s in state["sidecars"] if s["connected"]]
            if not state["bundle_number"] or len(connected) < len(self.sidecars):
                return False
        return True


async def start_deployment(
    fleet: Fleet,
    deployment: Deployment,
    bundle: Bundle,
    *,
    routers: int = ROUTERS,
    engine_settings: Mapping[str, object] | None = None,
    router_settings: Mapping[str, object] | None = None,
    through_proxies: bool = False,
) -> RunningDeployment:
    """Start a deployment at its size and wait until it serves.

    :param through_proxies: links pass fault proxies, which delay them as the
        deployment's network does.
    """
    running = RunningDeployment(fleet, deployment)
    if not fleet.platform_url:
        await fleet.start_platform()
    await fleet.submit_bundle(bundle)
    engines = (
        running.add_engine(through_proxy=through_proxies, **dict(engine_settings or {}))
        for _ in range(deployment.engines)
    )
    services = (
        running.add_service(through_proxy=through_proxies)
        for _ in range(deployment.services)
    )
    await asyncio.gather(*engines, *services)
    await running.delay_links()
    for _ in range(routers):
        await running.add_router(**dict(router_settings or {}))
    await running.wait_linked()
    return running
