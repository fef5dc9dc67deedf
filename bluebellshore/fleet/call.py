"""A caller's request, in the form on which admission and routing decide."""

import hashlib
from typing import NamedTuple

import msgspec
import xxhash

from bluebellshore.fleet.model import Route
from bluebellshore.ids import CustomerId, PartId, ScopedPart, ServiceName

__all__ = ["Call", "PromptPart", "choose_service", "fingerprint_of", "shared_parts_of"]


class PromptPart(NamedTuple):
    """A part of a prompt.

    :param part_id: identifies the text; parts with equal ids have equal text.
    :param tokens: size of the part.
    """

    part_id: PartId
    tokens: int


class Call(msgspec.Struct):
    """A request of a caller, decoded and matched to its route and customer.

    :param attempt_id: id that the caller gave this attempt; backend servers echo it.
    :param target: path and query as the caller sent them.
    :param headers: headers to forward, without those that the fleet sets itself.
    :param customer: None when the route is anonymous or no customers are configured.
    :param priority: 0 is the most urgent.
    :param received_at: time of arrival, in monotonic seconds.
    :param deadline: the earlier of the caller's deadline and the route's time limit,
        in monotonic seconds.
    :param prompt: parts in the order of the prompt.
    :param prompt_tokens: size of the prompt.
    :param max_output_tokens: maximum number of tokens to generate.
    :param last_event_id: last event that the caller received of a stream to be
        resumed; empty for a new stream.
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
    def max_total_tokens(self) -> int:
        """Upper bound of the tokens that the request can cost."""
        return self.prompt_tokens + self.max_output_tokens


def fingerprint_of(call: Call) -> str:
    """Return a hash that is the same each time a caller sends the same request."""
    digest = hashlib.blake2b(call.body, digest_size=8)
    digest.update(f"{call.customer}\0{call.method}\0{call.target}".encode())
    return digest.hexdigest()


def shared_parts_of(call: Call, service: ServiceName) -> tuple[ScopedPart, ...]:
    """Return the prompt's parts, as read at `service`, that other requests may share.

    The last part belongs to the request itself.
    """
    return tuple(ScopedPart(f"{service}/{part.part_id}") for part in call.prompt[:-1])


def choose_service(call: Call) -> ServiceName:
    """Choose the service by the route's weights; the same for each try of an attempt.

    The attempt id is hashed to a point in the range of the summed weights.
    """
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
