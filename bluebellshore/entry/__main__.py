"""Run an entry router with ``python -m bluebellshore.entry``.

The same as ``bluebellshore entry`` without the command line's other parts: a process
that was killed serves again sooner.
"""

import contextlib
import gc
import os
import signal
import sys
from collections.abc import Iterator

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
    with _quick_imports():
        from bluebellshore.entry.router import serve

    try:
        serve()
    except SettingsError as error:
        for problem in error.problems:
            print(f"{error.step}: {problem}", file=sys.stderr)
        return USAGE_EXIT_CODE
    return 0


@contextlib.contextmanager
def _quick_imports() -> Iterator[None]:
    """Import without work that an entry router has no use for.

    After a loss of power nobody is served before all imports are done.
    """
    # It speaks no TLS, yet aiohttp reads the system's certificates when imported.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    try:
        yield
    finally:
        # What imports leave behind stays for good, so later collections pass over it.
        gc.freeze()
        gc.enable()


if __name__ == "__main__":
    sys.exit(main())
