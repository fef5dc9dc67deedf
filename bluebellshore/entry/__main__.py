"""Run an entry router with ``python -m bluebellshore.entry``.

Does the same as ``bluebellshore entry`` without importing the other commands, so that a
process that was killed serves again sooner.
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
    """Serve until SIGTERM. :return: the exit code."""
    # SIGHUP would end the process before its handler is installed. It is ignored until
    # then, as the settings are read after the imports, which take most of the start.
    # SIGTERM and SIGINT are blocked until their handlers are installed, since callers
    # may be served before.
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
    """Skip work during imports that an entry router has no use for.

    After a loss of power no caller is served until all imports are done.
    """
    # The router uses no TLS, but aiohttp reads the system's certificates on import.
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    gc.disable()
    try:
        yield
    finally:
        # Objects made by imports live on, so later garbage collections skip them.
        gc.freeze()
        gc.enable()


if __name__ == "__main__":
    sys.exit(main())
