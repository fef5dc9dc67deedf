"""Ways from a router to backend servers."""

from bluebellshore.backend.answer import (
    Answer,
    AnswerHeaders,
    AttemptError,
    Backend,
    BackendRequest,
    Outcome,
)

__all__ = [
    "Answer",
    "AnswerHeaders",
    "AttemptError",
    "Backend",
    "BackendRequest",
    "Outcome",
]
