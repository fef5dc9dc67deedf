"""Ways from a router to backend servers."""

from bluebellshore.backend.answer import (
    Answer,
    AttemptError,
    Backend,
    BackendRequest,
    Outcome,
)

__all__ = ["Answer", "AttemptError", "Backend", "BackendRequest", "Outcome"]
