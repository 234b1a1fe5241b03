"""Tests of the command line against an emulated store and instances."""

import json
import pathlib
import shutil
import tempfile
import tomllib
import unittest
from unittest import mock

import klein
from cleo.testers import application_tester
from parameterized import parameterized
from twisted.internet import defer
from twisted.web import server

from cicadafront.cli import base, keys, loop, main
from cicadafront.cli import config as cli_config
from cicadafront.config import folder
from tests.config.support import FILES
from tests.store.support import serve

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"


class FakeInstances:
    """Operators' HTTP endpoints of two instances that also list a dead one."""

    def __init__(self, reactor):
        self.revisions = {"i1": 1, "i2": 1}
        self.released = []
        self.cleared = []
        self.addresses = {}
        self.ports = []
        for id in self.revisions:
            site = server.Site(self.app(id).resource())
            port = reactor.listenTCP(0, site, interface="127.0.0.1")
            self.ports.append(port)
            self.addresses[id] = f"127.0.0.1:{port.getHost().port}"

    def app(self, id):
        app = klein.Klein()

        def add_route(path, data, **options):
            def view(request, **arguments):
                found = data(**arguments)
                request.setResponseCode(200 if found is not None else 404)
                return json.dumps(found or {}).encode()

            app.route(path, endpoint=path, **options)(view)

        add_route(
            "/v1/instances",
            lambda: {
                "items": [
                    {"id": i, "operators": a, "alive": True, "leaving": False}
                    for i, a in self.addresses.items()
                ]
                + [{"id": "i3", "operators": "127.0.0.1:1", "alive": False}]
            },
        )
        add_route("/status", lambda: self.status(id))
        add_route(
            "/v1/targets",
            lambda: {
                "items": [
                    {"id": "t1", "service": "rounds", "slots": 3},
                    {"id": "t2", "service": "<b>ledger</b>", "slots": 3},
                ]
            },
        )
        add_route("/v1/accounts", lambda: {"items": [{"id": "a", "rate": 2.5}]})
        add_route(
            "/v1/traces/<trace>",
            lambda trace: (
                {"items": [{"name": id, "start": 9 - int(id[1])}]}
                if trace == TRACE
                else None
            ),
        )
        add_route(
            "/v1/shards/<int:shard>/release",
            lambda shard: self.released.append(shard) or {"epoch": 4},
            methods=["POST"],
        )
        add_route(
            "/v1/shards/<int:shard>/clear",
            lambda shard: self.cleared.append(shard) or {"epoch": 4},
            methods=["POST"],
        )
        return app

    def status(self, id):
        # Each status request advances the lagging instance by one revision.
        revision = self.revisions[id]
        if id == "i2":
            self.revisions[id] += 1
        return {"instance": id, "revision": revision}


class CommandTest(unittest.TestCase):
    """Guards against wrong output, exit codes and error messages of commands.

    The commands run against an emulated store and fake instances.
    """

    def setUp(self):
        reactor = loop.reactor()

        self.store, port, self.url = serve()
        self.fleet = loop.call(lambda: defer.succeed(FakeInstances(reactor)))
        self.ports = [port, *self.fleet.ports]
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)
        for name, content in FILES.items():
            (self.folder / name).write_bytes(content)

    def tearDown(self):
        for port in self.ports:
            loop.call(lambda port=port: defer.maybeDeferred(port.stopListening))

    def run_command(self, line, inputs=None):
        tester = application_tester.ApplicationTester(main.build())
        line = line.format(
            dir=self.folder, store=self.url, address=self.fleet.addresses["i1"]
        )
        code = tester.execute(line, inputs=inputs)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    def run_json(self, line):
        code, output, _ = self.run_command(line + " --json")
        return code, json.loads(output)

    @parameterized.expand(
        [
            ("check", "config check {dir}", 0, "valid: 1 accounts"),
            ("merge", "config merge {dir}", 0, "20-night.toml"),
            ("diff", "config diff {dir} -s {store}", 0, "differences to"),
            ("history", "config history -s {store}", 0, "REVISION"),
            ("no folder", "config check {dir}/x", 2, "name an existing"),
            ("no store", "config diff {dir} -s http://127.0.0.1:1", 3, "store"),
            ("no instance", "targets -a 127.0.0.1:1", 3, "check --address"),
            ("targets", "targets -a {address}", 0, "<b>ledger</b>"),
            ("accounts", "accounts -a {address}", 0, "2.5"),
            ("status", "status -a {address}", 0, "dead"),
            ("trace", f"trace {TRACE} -a {{address}}", 0, "i1"),
            ("no trace", f"trace {'0' * 32} -a {{address}}", 7, "no instance"),
            ("bad trace", "trace ../x -a {address}", 1, "32 hexadecimal"),
            ("shard", "shard release 300 -y -a {address}", 1, "0 to 255"),
            ("number", "config history --last x", 1, "whole number"),
            ("unknown", "config frobnicate", 1, ""),
            ("key account", "key create 'a b'", 2, "letters"),
            ("key absent", "key withdraw k9 {dir}", 7, "config merge"),
        ]
    )
    def test_command(self, _name, line, code, text):
        actual, output, error = self.run_command(line)
        self.assertEqual(actual, code, output + error)
        self.assertIn(text, output + error)
        if code not in (0, 1):
            data = self.run_json(line)[1]
            self.assertIn("code", data["error"])

    def test_every_command_has_examples_and_json(self):
        for command in main.COMMANDS:
            code, output, _ = self.run_command(f"{command.name} --help")
            self.assertEqual(code, 0)
            for text in ("$ cicadafront " + command.name, "--json", "Exit"):
                self.assertIn(text, output)

    def test_invalid_folder_reports_all_errors(self):
        (self.folder / "30.toml").write_text("[accounts.b]\nx = 1")
        code, data = self.run_json("config check {dir}")
        self.assertEqual(code, 2)
        found = [(e["file"], e["key"]) for e in data["error"]["errors"]]
        self.assertEqual(len(found), 3)
        self.assertIn(("30.toml", "accounts.b.x"), found)
        before = sum(self.store.counts.values())
        self.assertEqual(self.run_json("config apply {dir} -s {store}")[0], 2)
        self.assertEqual(sum(self.store.counts.values()), before)

    def test_apply_and_history(self):
        line = "config apply {dir} -s {store} --author asha"
        code, data = self.run_json(line)
        self.assertEqual(
            (code, data["revision"], data["changed"]), (0, 1, True)
        )
        self.assertFalse(self.run_json(line)[1]["changed"])
        (self.folder / "30.toml").write_text("[accounts.amani]\nrate = 9")
        _, data = self.run_json("config diff {dir} -s {store}")
        change = {"key": "accounts.amani.rate", "before": 50.0, "after": 9.0}
        self.assertEqual((data["revision"], data["items"]), (1, [change]))
        code, data = self.run_json(line + " --base 0")
        self.assertEqual((code, data["error"]["code"]), (4, "apply_lost"))
        self.assertIn("asha", data["error"]["message"])
        self.assertEqual(self.run_json(line + " --base 1")[0], 0)
        _, data = self.run_json("config history -s {store}")
        self.assertEqual([i["revision"] for i in data["items"]], [1, 2])

    def test_apply_finds_its_write_after_a_lost_answer(self):
        original = self.store.put

        def put(key, *arguments):
            if key == "config/manifest" and not self.store.counts["lost"]:
                self.store.counts["lost"] += 1
                self.store.faults.lose_answers = 1
            return original(key, *arguments)

        self.store.put = put
        code, data = self.run_json("config apply {dir} -s {store}")
        self.assertEqual((code, data["revision"]), (0, 1))

    def test_interrupted_apply_names_its_write(self):
        with mock.patch.object(
            cli_config, "with_store", side_effect=KeyboardInterrupt
        ):
            code, data = self.run_json("config apply {dir} -s {store}")
        self.assertEqual((code, data["error"]["code"]), (5, "apply_unknown"))
        self.assertIn("write", data["error"]["message"])

    def test_status_waits_while_the_asked_instance_is_away(self):
        line = "config status -a 127.0.0.1:1 --revision 1 --wait --timeout 1"
        code, _, error = self.run_command(line)
        self.assertEqual(code, 3)
        self.assertGreater(error.count("no answer"), 1)

    def test_status_waits_for_instances_that_lag(self):
        line = "config status -s {store} -a {address} --revision 1"
        self.assertEqual(self.run_command(line)[0], 0)
        self.fleet.revisions = {"i1": 4, "i2": 2}
        line = line.replace("--revision 1", "--revision 4")
        code, data = self.run_json(line)
        self.assertEqual((code, data["lagging"]), (6, ["i2"]))
        code, output, error = self.run_command(line + " --wait --timeout 9")
        self.assertEqual(code, 0)
        self.assertIn("1 of 2 instances", error)
        self.assertIn("2 of 2 instances", output)
        self.fleet.revisions = {"i1": 3, "i2": 4}
        code, output, _ = self.run_command(line + " --wait --timeout 0")
        self.assertEqual(code, 6)
        self.assertIn("lagging: i1", output)
        lost = line.replace("{store}", "http://127.0.0.1:1")
        lost = lost.replace(" --revision 4", "")
        code, _, error = self.run_command(lost)
        self.assertEqual(code, 6)
        self.assertIn("comparing the instances only", error)

    def test_trace_is_ordered_by_start(self):
        _, data = self.run_json(f"trace {TRACE} -a {{address}}")
        self.assertEqual([i["instance"] for i in data["items"]], ["i2", "i1"])

    @parameterized.expand([("no", 1, []), ("yes", 0, [7])])
    def test_shard_release_asks(self, answer, code, released):
        line = "shard release 7 -a {address}"
        self.assertEqual(self.run_command(line, f"{answer}\n")[0], code)
        self.assertEqual(self.fleet.released, released)

    @parameterized.expand([("no", 1, []), ("yes", 0, [7])])
    def test_shard_clear_asks(self, answer, code, cleared):
        line = "shard release 7 --clear -a {address}"
        self.assertEqual(self.run_command(line, f"{answer}\n")[0], code)
        self.assertEqual(self.fleet.cleared, cleared)
        self.assertEqual(self.fleet.released, [])

    def test_created_key_works_and_can_be_withdrawn(self):
        _, data = self.run_json("key create amani --id new --dir {dir}")
        (self.folder / "50.toml").write_text("# mine\n" + data["toml"])
        configuration = folder.load(self.folder).configuration()
        self.assertEqual(configuration.account_for(data["token"]).id, "amani")
        again = self.run_json("key create amani --id new --dir {dir}")
        self.assertEqual(again[0], 2)
        self.assertEqual(self.run_json("key create x --dir {dir}")[0], 2)
        code, data = self.run_json("key withdraw new {dir}")
        self.assertEqual((code, data["files"]), (0, ["50.toml"]))
        self.assertNotIn("new", folder.load(self.folder).values["keys"])
        self.assertEqual((self.folder / "50.toml").read_text(), "# mine\n")


class WithoutKeyTest(unittest.TestCase):
    """Guards against edits that damage the files of a configuration folder.

    Only a key in a table of its own is removed; other forms must be rejected.
    """

    @parameterized.expand(
        [
            ("middle", "[keys.a]\nx=1\n\n# b\n[keys.b]\ny=1\n", True),
            ("quoted", '[keys."a"]\nx=1\n[keys.b]\ny=1\n', True),
            ("spaces", " [ keys . a ] # c\nx=1\n[keys.b]\ny=1\n", True),
            ("last", "[keys.b]\ny=1\n[keys.a]\nx=1\n", True),
            ("array", "[keys.a]\nx=[\n[1],\n[2]]\n[keys.b]\ny=1\n", False),
            ("inline", "keys.a.x = 1\nkeys.b.y = 1\n", False),
            ("inline table", "[keys]\na = {x=1}\nb = {y=1}\n", False),
            ("in text", "[z]\nz='''\n[keys.a]\nx=1'''\n[keys]\na={}\n", False),
        ]
    )
    def test_edit(self, _name, text, possible):
        content = text.encode()
        if not possible:
            with self.assertRaises(base.errors.ConfigError) as caught:
                keys.without_key("f.toml", content, "a")
            self.assertIn("by hand", caught.exception.message)
            return
        result = keys.without_key("f.toml", content, "a").decode()
        self.assertEqual(tomllib.loads(result), {"keys": {"b": {"y": 1}}})
        self.assertEqual("# b" in text, "# b" in result)


class ExampleTest(unittest.TestCase):
    """Guards against example folders that the command line rejects."""

    @parameterized.expand(
        [("kaburi", "riders", "ledger"), ("pancierova", "keepers", "bookings")]
    )
    def test_folder(self, name, account, service):
        configuration = folder.load(EXAMPLES / name).configuration()
        self.assertEqual(len(configuration.accounts), 8)
        self.assertEqual(len(configuration.services), 4)
        token = "cf_example1_public-token-1"
        self.assertEqual(configuration.account_for(token).id, account)
        route = configuration.route_for("POST", "/payments/7")
        self.assertEqual((route.service, route.repeatable), (service, False))
        for key in configuration.keys.values():
            number = key.id.removeprefix("example")
            token = f"cf_example{number}_public-token-{number}"
            found = configuration.account_for(token)
            self.assertEqual(found.id, key.account)

    def test_withdraw_from_an_example(self):
        with tempfile.TemporaryDirectory() as temporary:
            copy = pathlib.Path(temporary) / "kaburi"
            shutil.copytree(EXAMPLES / "kaburi", copy)
            tester = application_tester.ApplicationTester(main.build())
            self.assertEqual(tester.execute(f"key withdraw example2 {copy}"), 0)
            values = folder.load(copy).values["keys"]
            self.assertEqual(
                sorted(values), ["example1", "example3", "example4"]
            )
