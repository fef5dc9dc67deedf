"""The story of one request from the logs of many processes."""

import contextlib
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from bluebellshore.decisions.reading import ReadTally, Record, read_records
from bluebellshore.decisions.story import Story, tell_story
from bluebellshore.errors import BluebellshoreError

__all__ = ["Explanation", "explain_request"]


class Explanation(msgspec.Struct):
    """A request's story and what it was read from."""

    story: Story
    tally: ReadTally


def explain_request(request: str, files: Sequence[Path] = ()) -> Explanation:
    """Return the story of a request.

    :param files: logs; standard input when there are none.
    :raises BluebellshoreError: no line is about the request.
    """
    tally = ReadTally()
    story = tell_story(request, _records(request, files, tally))
    if not story.steps:
        raise BluebellshoreError(
            f"nothing about this request in {tally.lines} lines, "
            f"{tally.damaged} of them damaged",
            step="explain",
            peer=request,
        )
    return Explanation(story, tally)


def _records(request: str, files: Sequence[Path], tally: ReadTally) -> Iterator[Record]:
    if not files:
        yield from read_records(sys.stdin.buffer, "standard input", request, tally)
    for path in files:
        with contextlib.closing(path.open("rb")) as lines:
            yield from read_records(lines, str(path), request, tally)
