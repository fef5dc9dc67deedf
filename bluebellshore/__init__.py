"""Router fleet for prepaid token budgets."""

import time

__version__ = "0.1.0"

#: Monotonic seconds at which this process was there already, before its imports.
STARTED_AT = time.monotonic()

__all__ = ["STARTED_AT", "__version__"]
