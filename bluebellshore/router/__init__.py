"""Router role: serves callers through sidecars in front of backend servers."""

from bluebellshore.router.router import Router

__all__ = ["Router"]
