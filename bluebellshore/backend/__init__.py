"""Sends requests from a router to backend servers."""

from bluebellshore.backend.answer import (
    Answer,
    AnswerHeaders,
    AttemptError,
    AttemptOutcome,
    Backend,
    BackendRequest,
    Backpressure,
)

__all__ = [
    "Answer",
    "AnswerHeaders",
    "AttemptError",
    "Backend",
    "BackendRequest",
    "Backpressure",
    "AttemptOutcome",
]
