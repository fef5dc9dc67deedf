"""One request of a caller, as all decisions see it."""

from typing import NamedTuple

import msgspec

from bluebellshore.fleet.model import Route
from bluebellshore.ids import CustomerId, PartId

__all__ = ["Call", "PromptPart"]


class PromptPart(NamedTuple):
    """A part of a prompt; equal ids mean equal text."""

    part_id: PartId
    tokens: int


class Call(msgspec.Struct):
    """A request that was admitted at the caller's port.

    :param attempt_id: the caller's id of this attempt; backend servers echo it.
    :param target: path and query as the caller sent them.
    :param headers: headers to forward, none that the fleet sets itself.
    :param customer: None where the route is anonymous or there are no customers.
    :param priority: 0 is the most urgent.
    :param received_at: monotonic seconds.
    :param deadline: monotonic seconds; the earlier of the caller's deadline and the
        route's time limit.
    :param prompt: parts in the order in which the prompt has them.
    :param prompt_tokens: size of the prompt.
    :param max_output_tokens: most tokens that may be generated.
    :param last_event_id: position at which the caller wants a stream to go on.
    """

    attempt_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    customer: CustomerId | None
    priority: int
    received_at: float
    deadline: float
    model: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    last_event_id: str = ""

    @property
    def most_tokens(self) -> int:
        """Upper bound of what the request can cost."""
        return self.prompt_tokens + self.max_output_tokens
