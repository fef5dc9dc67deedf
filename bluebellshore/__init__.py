"""A fleet of routers between callers and backend servers, with prepaid budgets."""

import time

__version__ = "0.1.0"

#: Monotonic time in seconds at the start of this process, before its other imports.
STARTED_AT = time.monotonic()

__all__ = ["STARTED_AT", "__version__"]
