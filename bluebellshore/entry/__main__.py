"""Run an entry router with ``python -m bluebellshore.entry``.

The same as ``bluebellshore entry`` without the command line's other parts: a process
that was killed serves again sooner.
"""

import signal
import sys

from bluebellshore.errors import SettingsError

__all__ = ["main"]

USAGE_EXIT_CODE = 2


def main() -> int:
    """Serve until SIGTERM. :return: exit code."""
    # Until its handler stands SIGHUP would end the process; the settings are read
    # anew then anyway. The other imports take most of a start. SIGTERM waits for its
    # handler, as callers may be served before that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})
    from bluebellshore.entry.router import serve

    try:
        serve()
    except SettingsError as error:
        for problem in error.problems:
            print(f"{error.step}: {problem}", file=sys.stderr)
        return USAGE_EXIT_CODE
    return 0


if __name__ == "__main__":
    sys.exit(main())
