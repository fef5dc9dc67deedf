"""Turns the head of a caller's request into a call, or refuses the request."""

import ipaddress

from bluebellshore.errors import RefusedError, RequestError
from bluebellshore.fleet import Call, Configuration, Customer, Route
from bluebellshore.platform.requests import RequestHead

__all__ = ["build_call"]

STEP = "intake"


def build_call(
    configuration: Configuration,
    head: RequestHead,
    *,
    method: str,
    target: str,
    host: str,
    received_at: float,
    default_seconds: float,
) -> Call:
    """Return the call of a request: its route, customer, priority and deadline.

    :param target: path and query as they were sent.
    :param host: value of the ``Host`` header.
    :param received_at: when the request was received, in monotonic seconds.
    :param default_seconds: time limit of a request that states none.
    :raises RefusedError: the request belongs to no route or to no customer.
    :raises RequestError: the target of the request is not a path.
    """
    if not target.startswith("/"):
        raise RequestError(f"unsupported target {target[:80]!r}", step=STEP)
    route = configuration.route_of(_host_name(host), target.partition("?")[0])
    if route is None:
        raise RefusedError("no such route", step=STEP, status=404)
    customer = _customer_of(configuration, route, head.api_keys)
    priority = route.priority
    if customer is not None and customer.priority is not None:
        priority = customer.priority
    seconds = head.deadline_seconds
    if seconds is None:
        seconds = default_seconds
    return Call(
        attempt_id=head.attempt_id,
        method=method,
        target=target,
        headers=head.forwarded_headers,
        body=b"",
        route=route,
        customer=None if customer is None else customer.customer_id,
        priority=priority,
        received_at=received_at,
        deadline=received_at + min(seconds, route.timeout_seconds),
        model=head.model,
        prompt=head.prompt,
        prompt_tokens=head.prompt_tokens,
        max_output_tokens=head.max_output_tokens,
        last_event_id=head.last_event_id,
    )


def _customer_of(
    configuration: Configuration, route: Route, keys: list[str]
) -> Customer | None:
    if route.anonymous or not configuration.has_customers:
        return None
    customer = configuration.customer_of(keys[0]) if len(keys) == 1 else None
    if customer is None:
        reason = (
            "unknown key" if len(keys) == 1 else f"{len(keys)} keys in place of one"
        )
        raise RefusedError(reason, step=STEP, status=401)
    return customer


def _host_name(host: str) -> str:
    """Return the host without its port."""
    name, colon, port = host.rpartition(":")
    if not colon or not port.isdigit():
        return host
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return name
    return host
