"""Run an entry router with ``python -m bluebellshore.entry``.

The same as ``bluebellshore entry`` without the command line's other parts: a process
that was killed serves again sooner.
"""

import sys

from bluebellshore.entry.router import serve
from bluebellshore.errors import SettingsError

__all__ = ["main"]

USAGE_EXIT_CODE = 2


def main() -> int:
    """Serve until SIGTERM. :return: exit code."""
    try:
        serve()
    except SettingsError as error:
        for problem in error.problems:
            print(f"{error.step}: {problem}", file=sys.stderr)
        return USAGE_EXIT_CODE
    return 0


if __name__ == "__main__":
    sys.exit(main())
