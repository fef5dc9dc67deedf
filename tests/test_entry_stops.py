"""Tests of requests that reach an entry router while it stops."""

import asyncio

from bluebellshore.load.fleet import wait_until
from tests.entry_system import HOST, KEY, EntryTestCase

#: Longer than a stopping router accepts all requests; tests shorten that to 0.1 s.
ACCEPTING_SECONDS = 0.5
LONG_DEADLINE_MS = 600_000


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, instance):
        self._instance = instance

    async def open(self):
        host, _, port = self._instance.listen.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    def send(self, path, attempt, deadline_ms):
        self._writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
        )

    async def read_status(self):
        """Return the status of the next answer; 0 if the connection was closed."""
        try:
            line = await self._reader.readline()
        except ConnectionError:
            return 0
        return int(line.split()[1]) if line else 0

    async def read_rest(self):
        """Return the bytes until the end of the connection."""
        return await self._reader.read()

    async def read_plain(self):
        """Read an answer with a length. :return: its status."""
        status = await self.read_status()
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await self._reader.readexactly(length)
        return status

    def close(self):
        self._writer.close()


class LateRequestTest(EntryTestCase):
    async def stop_with_a_stream(self):
        """Start to stop a router that has a stream in flight and a kept connection."""
        instance = await self.start_system()
        for runner in self.runners:
            if runner.settings.streaming:
                runner.gate.clear()
        self.addCleanup(self.open_gates)
        kept = await KeptConnection(instance).open()
        self.addCleanup(kept.close)
        kept.send("/safe/a", self.new_attempt_id(), 8000)
        self.assertEqual(200, await kept.read_plain())
        early = self.new_attempt_id()
        task = asyncio.create_task(
            self.call(instance, "/stream/a", headers=self.headers(early))
        )
        self.addCleanup(task.cancel)
        await wait_until(lambda: self.count_runs(early), "the early stream")
        stop = asyncio.create_task(instance.router.stop())
        self.addAsyncCleanup(asyncio.wait_for, stop, None)
        await asyncio.sleep(ACCEPTING_SECONDS)
        return instance, kept

    def open_gates(self):
        for runner in self.runners:
            runner.gate.set()

    async def test_stream_begun_late_in_a_stop_is_not_passed_on_and_cut(self):
        # A stopping router passed on what it couldn't finish before its SIGKILL.
        _, kept = await self.stop_with_a_stream()
        late = self.new_attempt_id()
        kept.send("/stream/a", late, LONG_DEADLINE_MS)
        status = asyncio.create_task(kept.read_status())
        await wait_until(
            lambda: status.done() or self.count_runs(late), "an answer or a run"
        )
        self.assertEqual(0, self.count_runs(late))
        self.assertIn(await status, (0, 503))
        self.open_gates()
