"""Tests that answers without end take bounded memory and harm no other request."""

import asyncio
import pathlib
import re
import unittest

import aiohttp
from aiohttp import web

from bluebellshore.standin.runner import RunnerSettings, StandinRunner, plain_answer_of
from tests.entry_system import EntryTestCase

ENDLESS_REQUESTS = 150
PIECE = b"x" * 16 * 1024
#: What the router may hold beyond its size before the requests, whatever they bring:
#: less than the smallest instances have left.
MAX_GROWTH_BYTES = 64 * 1024 * 1024
HOLD_SECONDS = 4.0


class EndlessRunner(StandinRunner):
    """A backend server that sends a body without end, unless the request is sound."""

    async def _run(self, request, seen):
        if seen.body != b"endless":
            return await super()._run(request, seen)
        headers = self._headers(seen)
        if self.settings.streaming:
            headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        while True:
            await response.write(PIECE)


class EndlessAnswersTest(EntryTestCase):
    async def start(self, service):
        self.configure()
        settings = RunnerSettings(service, slots=400, streaming=service == "streams")
        for name in ("a", "b"):
            runner = EndlessRunner(f"{service}-{name}", settings, self.entries)
            await runner.start()
            self.addAsyncCleanup(runner.crash)
            self.runners.append(runner)
        instance = await self.start_process(self.make_instance())
        await self.wait_until_serving_path(instance, f"/{self.PATHS[service]}/a")
        return instance

    PATHS = {"plain": "unsafe", "streams": "stream"}

    async def wait_until_serving_path(self, instance, path):
        async with asyncio.timeout(20.0):
            while True:
                try:
                    status, _, _ = await self.call(instance, path, "POST", b"sound")
                except aiohttp.ClientError:
                    status = 0
                if status == 200:
                    return
                await asyncio.sleep(0.1)

    def peak_bytes(self, instance):
        status = pathlib.Path(f"/proc/{instance.process.pid}/status").read_text()
        return int(re.search(r"^VmHWM:\s*(\d+) kB", status, re.MULTILINE)[1]) * 1024

    async def ask_endless(self, instance, path):
        """Send a request and read nothing of its answer."""
        reader, writer = await asyncio.open_connection(*instance.listen.split(":"))
        head = [f"POST {path} HTTP/1.1", "Content-Length: 7"]
        headers = self.headers(self.new_attempt_id())
        head += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*head, "", "endless"]).encode())
        return writer

    async def check(self, service):
        instance = await self.start(service)
        path = f"/{self.PATHS[service]}/a"
        before = self.peak_bytes(instance)
        writers = [
            await self.ask_endless(instance, path) for _ in range(ENDLESS_REQUESTS)
        ]
        self.addCleanup(lambda: [writer.transport.abort() for writer in writers])
        await asyncio.sleep(HOLD_SECONDS)
        attempt = self.new_attempt_id()
        status, _, body = await self.call(
            instance, path, "POST", b"sound", self.headers(attempt)
        )
        self.assertEqual(status, 200)
        if service == "plain":
            self.assertEqual(body, plain_answer_of(attempt, b"sound"))
        self.assertLess(self.peak_bytes(instance) - before, MAX_GROWTH_BYTES)

    # Another operator's router kept such bytes until it ran out of memory.
    async def test_bodies_without_end(self):
        await self.check("plain")

    async def test_events_without_end(self):
        await self.check("streams")


if __name__ == "__main__":
    unittest.main()
