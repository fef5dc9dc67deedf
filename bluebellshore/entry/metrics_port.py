"""HTTP server for operators of an entry router: metrics as text, state as JSON."""

from collections.abc import Callable
from typing import Any

import orjson
from aiohttp import web
from prometheus_client import CollectorRegistry

from bluebellshore.entry.descriptors import DescriptorShares
from bluebellshore.entry.metrics import metrics_handler
from bluebellshore.entry.side_server import SideServer
from bluebellshore.operator_port import bind

__all__ = ["METRICS_PATH", "STATE_PATH", "MetricsPort"]

METRICS_PATH = "/metrics"
STATE_PATH = "/state"


class MetricsPort:
    """Serves the metrics and the state of one process on its own port.

    :param refresh: called before the metrics are read, to set the gauges.
    :param snapshot: returns the state to serve as JSON.
    :param max_connections: open connections to the port.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        *,
        refresh: Callable[[], None],
        snapshot: Callable[[], dict[str, Any]],
        max_connections: int = DescriptorShares().side,
    ):
        self._max_connections = max_connections
        self._snapshot = snapshot
        self._handlers_by_path = {
            METRICS_PATH: metrics_handler(registry, refresh),
            STATE_PATH: self._get_state,
        }
        self._runner: web.ServerRunner | None = None

    async def start(self, listen: str) -> str:
        """Start to serve. :return: the ``host:port`` bound."""
        self._runner = web.ServerRunner(SideServer(self._answer, self._max_connections))
        await self._runner.setup()
        return await bind(self._runner, listen)

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        handler = self._handlers_by_path.get(request.path)
        if handler is None:
            return web.Response(status=404)
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405)
        return await handler(request)

    async def _get_state(self, request: web.BaseRequest) -> web.Response:
        body = orjson.dumps(
            self._snapshot(), default=str, option=orjson.OPT_NON_STR_KEYS
        )
        return web.Response(body=body, content_type="application/json")
