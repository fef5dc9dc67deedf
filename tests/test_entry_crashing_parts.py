"""Tests that requests with a prompt part that crashes backend servers are refused."""

from bluebellshore.backend import AttemptOutcome
from bluebellshore.fleet import RouteKind
from bluebellshore.platform.names import PROMPT_HEADER, TOKENS_HEADER
from tests.test_entry_dispatch import attempt_error
from tests.test_entry_requests import EVENT, EntryCase, FakeAnswer


class CrashingPartTest(EntryCase):
    kind = RouteKind.STREAM
    route_options = {"anonymous": True, "max_attempts": 1}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.names = [f"s{number}" for number in range(40)]
        self.add_servers(*self.names)
        self.number = 0

    async def ask(self, *parts: str) -> int:
        """Send a request with these parts and one of its own. :return: the status."""
        self.number += 1
        prompt = ",".join(f"{part}:10" for part in (*parts, f"f{self.number}"))
        headers = {PROMPT_HEADER: prompt, TOKENS_HEADER: "40,9"}
        async with self.get(f"/a/{self.number}", **headers) as response:
            await response.read()
            return response.status

    async def served(self, *parts: str) -> bool:
        answer = FakeAnswer([EVENT % 1, EVENT % 2])
        self.backend.answers = [answer]
        return await self.ask(*parts) == 200

    async def crash(self, *parts: str) -> int:
        """Have the backend server crash unless the request is refused."""
        self.backend.answers = [attempt_error(AttemptOutcome.UNKNOWN, reset=True)]
        status = await self.ask(*parts)
        for name in self.names:
            self.crash_tracker.record_unreachable(name, self.now())
        return status

    # inc2: each request was a new one, so none was refused and all servers crashed.
    async def test_requests_that_share_only_a_crashing_part_are_refused(self) -> None:
        for other in "abcde":
            self.assertTrue(await self.served("shared", other))
            await self.crash("shared", "bad", other)
        for other in "abcde":
            self.assertEqual(await self.crash("shared", "bad", other), 503)
            self.assertEqual(len(self.backend.answers), 1)
            self.assertTrue(await self.served("shared", other))
