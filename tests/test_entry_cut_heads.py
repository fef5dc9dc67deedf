"""Tests that an answer whose head broke off reaches no caller as a success."""

import asyncio
import socket
import unittest

import aiohttp

from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from tests.entry_system import EntryTestCase
from tests.scripted_server import RESET_ON_CLOSE

STREAM_TYPE = "Content-Type: text/event-stream\r\n"
BEGIN = "HTTP/1.1 200 OK\r\n"
#: What may come before the head that breaks off.
PREFIXES = ("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
#: Heads by name; each is cut at every byte.
HEADS_BY_NAME = {
    "length": BEGIN + "Content-Length: 0\r\n{own}\r\n",
    "chunked": BEGIN + "Transfer-Encoding: chunked\r\n{own}\r\n",
    "no length": BEGIN + "{own}\r\n",
    "length last": BEGIN + "{own}Content-Length: 12\r\n\r\n",
}
#: Requests in flight at once.
CONCURRENCY = 24


class CutRunner(StandinRunner):
    """A backend server that writes the bytes that a request's body names, and ends."""

    async def _run(self, request, seen):
        text, _, end = seen.body.decode().rpartition("|")
        if end not in ("close", "reset"):
            return await super()._run(request, seen)
        own = "".join(f"{n}: {v}\r\n" for n, v in self._headers(seen).items())
        own += STREAM_TYPE if self.settings.streaming else ""
        prefix, _, cut = text.rpartition("|")
        name, _, left_out = cut.partition("-")
        head = HEADS_BY_NAME[name].format(own=own)
        head = head[: max(0, len(head) - int(left_out))]
        transport = request.transport
        transport.write((PREFIXES[int(prefix)] + head).encode())
        await asyncio.sleep(0.01)
        if end == "reset":
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.close()
        await asyncio.sleep(1.0)


class CutHeadTest(EntryTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        for service in ("plain", "streams"):
            settings = RunnerSettings(service, slots=64, streaming=service == "streams")
            for name in ("a", "b"):
                runner = CutRunner(f"{service}-{name}", settings, self.entries)
                await runner.start()
                self.addAsyncCleanup(runner.crash)
                self.runners.append(runner)
        self.instance = await self.start_router(self.make_instance())
        await self.wait_until_synced(self.instance)

    # Another operator's callers got a 200 with an empty or short body.
    async def test_head_that_breaks_off_is_no_answer(self):
        slots = asyncio.Semaphore(CONCURRENCY)
        results = {}

        async def ask(path, body):
            async with slots:
                attempt = self.new_attempt_id()
                headers = self.headers(attempt, deadline_ms=4000)
                try:
                    status, _, _ = await self.call(
                        self.instance, path, "POST", body.encode(), headers
                    )
                except aiohttp.ClientError as error:
                    status = type(error).__name__
                results[path, body] = status

        async with asyncio.TaskGroup() as group:
            for path in ("/safe/a", "/unsafe/a", "/stream/a", "/resumed/a"):
                for name in HEADS_BY_NAME:
                    for prefix in range(len(PREFIXES)):
                        for left_out in (1, 2, 3, 4, 5, 17, 40, 90, 130, 160, 1000):
                            for end in ("close", "reset"):
                                body = f"{prefix}|{name}-{left_out}|{end}"
                                group.create_task(ask(path, body))
        ran = sum(runner.runs.total() for runner in self.runners)
        self.assertGreater(ran, len(results) // 2)
        whole = {key: status for key, status in results.items() if status == 200}
        self.assertEqual(whole, {})
        self.assertEqual({502, 503}, set(results.values()) | {503})
        for body in (b"sound", b"0|length-0|close"):
            status, _, _ = await self.call(self.instance, "/unsafe/a", "POST", body)
            self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
