"""Tests of the command line against real processes."""

import asyncio
import json
import pathlib
import sys
import tempfile
import unittest

from aiohttp import web

from bluebellshore.bundle import BundleKeeper, Verifier, sign_bundle
from bluebellshore.bundle.format import bundle_to_yaml, encode_signed
from bluebellshore.bundle.model import Move, Version
from bluebellshore.load.fleet import open_fleet
from bluebellshore.moves.rows import MoveRow, MoveState, encode_row
from bluebellshore.platform.store import open_store
from bluebellshore.store import Instance, InstanceRole, TableInstances, Write
from tests.test_bundle_keeper import make_bundle

ROOT = pathlib.Path(__file__).parent.parent
TOKEN = "operator-token"


async def command(*words: str, **variables: str) -> tuple[int, str, str]:
    """Run the command line. :return: exit code, output and errors."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bluebellshore",
        *words,
        cwd=ROOT,
        env={f"BLUEBELLSHORE_{name}": value for name, value in variables.items()},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    assert b"Traceback" not in errors, errors.decode()
    return process.returncode, output.decode(), errors.decode()


class RouterPort:
    """Operator port of a router that keeps what it is offered."""

    def __init__(self, verifier: Verifier):
        self.keeper = BundleKeeper(verifier)
        self.app = web.Application()
        self.app.router.add_post("/bundle", self.take)
        self.app.router.add_get("/state", self.state)

    @staticmethod
    def allowed(request: web.Request) -> bool:
        return request.headers.get("Authorization") == f"Bearer {TOKEN}"

    async def take(self, request: web.Request) -> web.Response:
        if not self.allowed(request):
            return web.Response(status=401, text="no token")
        self.keeper.offer(await request.read())
        return web.Response()

    async def state(self, request: web.Request) -> web.Response:
        if not self.allowed(request):
            return web.Response(status=401, text="no token")
        sidecars = [{"instance_id": "sidecar-1", "bundle_number": 0}]
        number = self.keeper.number
        return web.json_response({"bundle_number": number, "sidecars": sidecars})


class UsageTest(unittest.IsolatedAsyncioTestCase):
    async def test_usage_and_settings_give_code_2_and_all_problems(self):
        code, _, errors = await command("bundle", "sign")
        self.assertEqual(code, 2)
        code, _, errors = await command("router", "--zone=a", RETRY_SHARE="7")
        self.assertEqual(code, 2)
        for flag in ("--instance-id", "--platform-url", "--trust-keys", "RETRY_SHARE"):
            self.assertIn(flag, errors)

    async def test_platform_out_gives_code_4(self):
        code, _, errors = await command("move", "status", PLATFORM_URL="http://[::1]:9")
        self.assertEqual(code, 4)
        self.assertRegex(errors, r"^store.read \(http://\[::1\]:9\): ")

    async def test_missing_and_faulty_files(self):
        code, _, errors = await command("bundle", "check", "no-such-file")
        self.assertEqual((code, errors[:28]), (3, "bundle.read (no-such-file): "))


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        fleet = await self.enterAsyncContext(open_fleet())
        platform = await fleet.start_platform()
        self.platform = await self.enterAsyncContext(open_store(platform.address))
        self.instances = TableInstances(self.platform, valid_seconds=600.0)
        self.directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        code, output, _ = await command("bundle", "keygen", self.path("key"), "--json")
        self.assertEqual(code, 0)
        self.public_key = json.loads(output)["public_key"]
        self.variables = {
            "PLATFORM_URL": f"http://{platform.address}",
            "OPERATOR_TOKEN": TOKEN,
            "TRUST_KEYS": self.public_key,
        }
        self.router = RouterPort(Verifier([bytes.fromhex(self.public_key)]))
        await self.serve_router()

    def path(self, name: str) -> str:
        return str(self.directory / name)

    async def serve_router(self):
        runner = web.AppRunner(self.router.app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0]
        for name, role, address in (
            ("router-1", InstanceRole.ROUTER, f"{host}:{port}"),
            ("sidecar-1", InstanceRole.SIDECAR, "127.0.0.1:9"),
        ):
            await self.instances.announce(Instance(name, role, "north", address))

    async def submit(self, bundle) -> tuple[int, str, str]:
        (self.directory / "b.yaml").write_text(bundle_to_yaml(bundle))
        signed = self.path("b.json")
        words = ("--key", self.path("key"), "--output", signed)
        code, _, errors = await command("bundle", "sign", self.path("b.yaml"), *words)
        self.assertEqual((code, errors), (0, ""))
        return await command("bundle", "submit", signed, **self.variables)

    async def test_bundle_from_file_to_routers_and_back(self):
        versions = {name: Version(concurrency=4, model="a") for name in ("a1", "a2")}
        move = Move(route="chat", old="a1", new="a2", deadline=2.0**32)
        bundle = make_bundle(versions=versions, moves={"m1": move}, comment="first")
        code, output, errors = await self.submit(bundle)
        self.assertEqual((code, errors), (0, ""))
        self.assertIn("bundle 1 accepted; offered to 1 routers", output)
        self.assertEqual(self.router.keeper.current, bundle)

        code, output, _ = await command("bundle", "show", "--json", **self.variables)
        shown = json.loads(output)
        self.assertEqual((code, shown["accepted"], shown["comment"]), (0, 1, "first"))
        numbers = {row["instance_id"]: row["number"] for row in shown["instances"]}
        self.assertEqual(numbers, {"router-1": 1, "sidecar-1": 0})

        await self.check_moves_and_budgets()
        code, output, errors = await self.submit(make_bundle(comment="rival"))
        self.assertEqual(code, 3)
        self.assertRegex(errors, r"accepted first: 'first'(.|\n)*versions: a2")

    async def check_moves_and_budgets(self):
        row = MoveRow("chat", "a1", "a2", 0.05, 1.0, MoveState.ROLLED_BACK, "slow", 2.0)
        budget = b'{"settled": 30, "allotments": {"r.1": {"outstanding": 20}}}'
        await self.platform.transact(
            [Write("move/m1", 0, encode_row(row)), Write("budget/fes", 0, budget)]
        )
        code, output, _ = await command("move", "status", **self.variables)
        self.assertEqual(code, 0)
        self.assertRegex(output, r"m1 .*a1 -> a2 .*taken back .*5%.*slow")
        code, output, _ = await command("budget", "show", "fes", **self.variables)
        self.assertEqual(output.splitlines()[1].split(), "fes 100 30 20 0 50".split())
        code, _, errors = await command("budget", "show", "x", **self.variables)
        self.assertEqual((code, errors), (1, "budget.show: no such budget: x\n"))

    async def test_refuses_untrusted_key_and_warns_without_token(self):
        signed = sign_bundle(make_bundle(), bytes(range(32)))
        (self.directory / "x.json").write_bytes(encode_signed(signed))
        code, _, errors = await command(
            "bundle", "submit", self.path("x.json"), **self.variables
        )
        self.assertEqual(code, 3)
        self.assertIn("is not trusted", errors)
        self.variables["OPERATOR_TOKEN"] = "wrong"
        code, output, errors = await self.submit(make_bundle())
        self.assertEqual(code, 0)
        self.assertRegex(errors, r"^warning: bundle.offer .*status 401")

    async def test_state_dump(self):
        instances = await self.instances.fetch()
        address = instances[0].address
        words = ("state", "dump", address)
        code, output, _ = await command(*words, OPERATOR_TOKEN=TOKEN)
        self.assertEqual((code, json.loads(output)["bundle_number"]), (0, 0))
        code, _, errors = await command(*words)
        self.assertEqual(code, 3)
        self.assertIn("status 401", errors)
