"""Makes calls and backend servers for tests of routing."""

import itertools

from bluebellshore.fleet import (
    BackendServer,
    Call,
    Engine,
    PromptPart,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

ENGINES = Service("engines", engine=Engine(slots=8, cache_tokens=50_000))
PLAIN = Service("plain")
_ATTEMPT_NUMBERS = itertools.count()


def route(service="engines", kind=RouteKind.STREAM, objective=0.6, **fields):
    return Route(
        service,
        "host.example",
        "/",
        kind,
        (WeightedService(service),),
        timeout_seconds=10.0,
        objective_seconds=objective,
        **fields,
    )


def call(
    *parts, service="engines", customer="c0", priority=0, now=0.0, output=50, **fields
):
    prompt = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Call(
        f"attempt-{next(_ATTEMPT_NUMBERS)}",
        "POST",
        "/",
        [],
        b"",
        fields.pop("route", route(service)),
        customer,
        priority,
        now,
        fields.pop("deadline", now + 6.0),
        prompt=prompt,
        prompt_tokens=sum(part.tokens for part in prompt),
        max_output_tokens=output,
        **fields,
    )


def servers(count, service="engines", slots=8, zone="z0"):
    return [
        BackendServer(f"{service}-{i}", service, "host", i, zone, slots=slots)
        for i in range(count)
    ]
