"""Stand-ins for outside systems."""

from bluebellshore.standin.engine import EngineStandin, expected_text, expected_tokens
from bluebellshore.standin.platform import PlatformStandin, PlatformState
from bluebellshore.standin.proxy import FaultProxy
from bluebellshore.standin.proxy_faults import (
    DirectionChange,
    ProxyFaultChange,
    Swallow,
)
from bluebellshore.standin.service import ServiceStandin, expected_answer

__all__ = [
    "DirectionChange",
    "EngineStandin",
    "FaultProxy",
    "PlatformStandin",
    "PlatformState",
    "ProxyFaultChange",
    "ServiceStandin",
    "Swallow",
    "expected_answer",
    "expected_text",
    "expected_tokens",
]
