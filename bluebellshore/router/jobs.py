"""Conversion of deferred calls to stored jobs, and the runs of these jobs."""

import asyncio
import time
from collections.abc import Callable

from bluebellshore.bundle.model import Bundle
from bluebellshore.duties.answers import Header, StoredAnswer
from bluebellshore.duties.jobs import Job
from bluebellshore.errors import RefusedError
from bluebellshore.ids import RouteName
from bluebellshore.router.calls import (
    CHAT_PATH,
    SAFE_METHODS,
    SERVICES_PATH,
    Call,
    make_chat_call,
    parse_chat_request,
)
from bluebellshore.router.dispatch import Dispatcher

__all__ = ["JobRunner", "job_from_call"]


def job_from_call(call: Call) -> Job:
    """Return the job to store for a deferred call."""
    now = time.time()
    path = call.path
    if call.chat is None:
        path = SERVICES_PATH + call.route_name + call.path
    return Job(
        customer=call.customer,
        key=call.key,
        fingerprint=call.fingerprint,
        method=call.method,
        path=path,
        submitted=now,
        deadline=now + call.route.deadline_seconds,
        headers=[Header(name, value) for name, value in call.headers.items()],
        body=call.body,
        idempotent=call.idempotent,
    )


class JobRunner:
    """Runs jobs through the dispatcher, under the bundle in force.

    :param current_bundle: returns the bundle in force, None if there is none.
    """

    def __init__(
        self, dispatcher: Dispatcher, current_bundle: Callable[[], Bundle | None]
    ):
        self._dispatcher = dispatcher
        self._current_bundle = current_bundle

    async def run(self, job: Job) -> StoredAnswer:
        """Run a job and return its complete answer.

        :raises RefusedError: the job got no answer in this run.
        :raises BackendServerError: the answer ended before it was complete.
        """
        source = await self._dispatcher.open(self._make_call(job))
        try:
            body = bytearray()
            async for data in source:
                body += data
            return StoredAnswer(
                status=source.status,
                headers=[Header(name, value) for name, value in source.headers],
                body=bytes(body),
            )
        finally:
            source.close()

    def _make_call(self, job: Job) -> Call:
        chat = parse_chat_request(job.body) if job.path == CHAT_PATH else None
        if chat is not None:
            route_name, path = RouteName(chat.model), CHAT_PATH
        else:
            name, _, tail = job.path.removeprefix(SERVICES_PATH).partition("/")
            route_name, path = RouteName(name), "/" + tail
        bundle = self._current_bundle()
        customer = bundle.customers.get(job.customer) if bundle else None
        route = bundle.routes.get(route_name) if bundle else None
        if customer is None or route is None:
            raise RefusedError(
                "the bundle in force has no such customer or route", step="job.run"
            )
        call = Call(
            customer=job.customer,
            budget=customer.budget,
            weight=customer.weight,
            route_name=route_name,
            route=route,
            key=job.key,
            has_caller_key=True,
            idempotent=route.idempotent or job.method in SAFE_METHODS,
            method=job.method,
            path=path,
            headers={header.name: header.value for header in job.headers},
            body=job.body,
            reserved_tokens=route.price,
            price=route.price,
            deadline=asyncio.get_running_loop().time() + route.deadline_seconds,
        )
        if chat is not None:
            chat.stream = False
            make_chat_call(call, chat)
        return call
