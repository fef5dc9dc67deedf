"""Command line."""

from bluebellshore.cli.main import main

__all__ = ["main"]
