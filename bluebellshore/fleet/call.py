"""One request of a caller, as all decisions see it."""

import hashlib
from typing import NamedTuple

import msgspec
import xxhash

from bluebellshore.fleet.model import Route
from bluebellshore.ids import CustomerId, PartId, ServiceName

__all__ = ["Call", "PromptPart", "fingerprint_of", "service_of"]


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


def fingerprint_of(call: Call) -> str:
    """Return what tells a request that comes again from others."""
    digest = hashlib.blake2b(call.body, digest_size=8)
    digest.update(f"{call.customer}\0{call.method}\0{call.target}".encode())
    return digest.hexdigest()


def service_of(call: Call) -> ServiceName:
    """Pick the service by the route's weights; the same for each try of an attempt."""
    services = call.route.services
    if len(services) == 1:
        return services[0].service
    total = sum(part.weight for part in services)
    point = xxhash.xxh32_intdigest(call.attempt_id.encode()) / 2**32 * total
    for part in services:
        point -= part.weight
        if point < 0:
            return part.service
    return services[-1].service
