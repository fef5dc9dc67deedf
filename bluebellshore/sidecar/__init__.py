"""Sidecar role: admission and execution of requests at one backend server."""

from bluebellshore.sidecar.sidecar import Sidecar

__all__ = ["Sidecar"]
