import copy
import pathlib
import tempfile
from typing import Any
import unittest

import json_merge_patch
import msgspec
from returns import result

from eelgrassgate import settings
from eelgrassgate.config import check
from eelgrassgate.config import records

MERGE = vars(json_merge_patch)["merge"]
ROOT = pathlib.Path(__file__).parent.parent
GOOD: dict[str, Any] = {
    "workspaces": {"desk": {"rate": {"per_second": 1, "burst": 2}}},
    "keys": {"k": {"digest": "0" * 64, "workspace": "desk"}},
    "models": {"m": {}},
    "services": {"ledger": {}},
    "endpoints": {
        "e": {"kind": "engine", "models": ["m"]},
        "l": {"kind": "service", "service": "ledger"},
    },
    "routes": {"/ledger": {"service": "ledger"}},
}
DESK = "$.workspaces.desk"
# Name, overlay over GOOD, expected place, expected part of the message.
CASES: tuple[tuple[str, dict[str, Any], str, str], ...] = (
    (
        "unknown part",
        {"workspace": {}},
        "$.workspace",
        "did you mean `workspaces`?",
    ),
    (
        "unknown field",
        {"workspaces": {"desk": {"wieght": 2}}},
        f"{DESK}.wieght",
        "did you mean `weight`?",
    ),
    (
        "wrong type",
        {"workspaces": {"desk": {"weight": "2"}}},
        f"{DESK}.weight",
        "not of type 'number'",
    ),
    (
        "rate of zero",
        {"workspaces": {"desk": {"rate": {"per_second": 0}}}},
        f"{DESK}.rate.per_second",
        "minimum of 0",
    ),
    (
        "optional part",
        {"workspaces": {"desk": {"batch_rate": {"per_second": 1}}}},
        f"{DESK}.batch_rate",
        "'burst' is a required property",
    ),
    (
        "burst below one",
        {"workspaces": {"desk": {"rate": {"burst": 0.5}}}},
        f"{DESK}.rate.burst",
        "rejects every request",
    ),
    (
        "key's workspace",
        {"keys": {"k": {"workspace": "dsk"}}},
        "$.keys.k.workspace",
        "did you mean `desk`?",
    ),
    (
        "same digest",
        {"keys": {"j": {"workspace": "desk", "digest": "0" * 64}}},
        "$.keys.j.digest",
        "the same digest as key `k`",
    ),
    (
        "key in plain text",
        {"keys": {"k": {"digest": "eg-secret"}}},
        "$.keys.k.digest",
        "does not match",
    ),
    (
        "endpoint's model",
        {"endpoints": {"e": {"models": ["m", "mm"]}}},
        "$.endpoints.e.models[1]",
        "did you mean `m`?",
    ),
    (
        "engine without models",
        {"endpoints": {"f": {"kind": "engine"}}},
        "$.endpoints.f",
        "must name its `models`",
    ),
    (
        "route's service",
        {"routes": {"/x": {"service": "ledgr"}}},
        "$.routes['/x'].service",
        "did you mean `ledger`?",
    ),
    (
        "reserved route",
        {"routes": {"/v1/x": {"service": "ledger"}}},
        "$.routes['/v1/x']",
        "is a reserved prefix",
    ),
    (
        "removal of nothing",
        {"workspaces": {"dsk": None}},
        "$.workspaces.dsk",
        "removes nothing",
    ),
    (
        "model without endpoint",
        {"models": {"n": {}}},
        "$.models.n",
        "no endpoint serves it",
    ),
    (
        "parts above one",
        {"link": {"control_part": 0.6, "batch_part": 0.6}},
        "$.link",
        "exceed 1",
    ),
)


class CheckTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.base = f"{folder.name}/base.json5"
        self.overlay = f"{folder.name}/site.json5"

    def check(self, base: str, overlay: str) -> Any:
        pathlib.Path(self.base).write_text(base, encoding="utf-8")
        pathlib.Path(self.overlay).write_text(overlay, encoding="utf-8")
        return check.check(self.base, self.overlay)

    def check_documents(self, base: Any, overlay: Any) -> Any:
        return self.check(
            msgspec.json.encode(base).decode(),
            msgspec.json.encode(overlay).decode(),
        )

    def test_findings_name_file_and_path(self) -> None:
        for name, patch, place, words in CASES:
            with self.subTest(name):
                found = self.check_documents(GOOD, patch).failure()
                (finding,) = found.get_findings()
                self.assertEqual(finding.file, self.overlay)
                self.assertEqual(finding.location, place)
                self.assertIn(words, finding.message)

    def test_all_findings_are_reported(self) -> None:
        base, places = copy.deepcopy(GOOD), set()
        for name, patch, place, _ in CASES:
            if name not in ("removal of nothing", "key in plain text"):
                base = MERGE(base, copy.deepcopy(patch))
                places.add(place)
        found = self.check_documents(base, {}).failure().get_findings()
        self.assertLessEqual(places, {finding.location for finding in found})
        self.assertEqual({finding.file for finding in found}, {self.base})

    def test_syntax_errors_name_the_line(self) -> None:
        found = self.check("{\n  // note\n  a: }", "{").failure()
        self.assertEqual(
            [(f.file, f.location) for f in found.get_findings()],
            [(self.base, "line 3"), (self.overlay, "line 1")],
        )

    def test_overlay_merges_by_name_and_null_removes(self) -> None:
        fleet = self.check_documents(
            GOOD,
            {
                "workspaces": {"desk": {"weight": 3}},
                "routes": {"/ledger": None},
            },
        ).unwrap()
        self.assertEqual(fleet.workspaces["desk"].weight, 3)
        self.assertEqual(fleet.workspaces["desk"].rate.burst, 2)
        self.assertEqual(fleet.routes, {})

    def test_records_hold_the_whole_fleet(self) -> None:
        fleet = self.check_documents(GOOD, {}).unwrap()
        values_by_id = records.split_fleet(fleet)
        again = records.update_fleet(type(fleet)(), values_by_id.items())
        self.assertEqual(again, fleet)


class ExamplesTest(unittest.TestCase):
    def test_examples_are_valid(self) -> None:
        for site, engines in (
            ("blue-mahoe", "matcher"),
            ("recubrimientos", "spec-writer"),
        ):
            folder = ROOT / "examples" / site
            fleet = check.check(
                str(folder / "base.json5"), str(folder / "site.json5")
            ).unwrap()
            kinds = [e.kind for e in fleet.endpoints.values()]
            with self.subTest(site):
                self.assertEqual(len(fleet.workspaces), 8)
                self.assertEqual(kinds.count("engine"), 9)
                self.assertEqual(kinds.count("service"), 3)
                self.assertIn(engines, fleet.models)

    def test_instances_match_the_fleet(self) -> None:
        for site in ("blue-mahoe", "recubrimientos"):
            folder = ROOT / "examples" / site
            fleet = check.check(str(folder / "base.json5")).unwrap()
            files = sorted((folder / "instances").glob("*.json5"))
            entries = [f for f in files if f.name.startswith("entry")]
            agents = {}
            for file in set(files) - set(entries):
                agent = settings.load_agent(str(file)).unwrap()
                agents[agent.endpoint] = agent
            with self.subTest(site):
                zones = {
                    settings.load_entry(str(file)).unwrap().place.zone
                    for file in entries
                }
                self.assertEqual(len(zones), 3)
                self.assertEqual(agents.keys(), fleet.endpoints.keys())
                for name, endpoint in fleet.endpoints.items():
                    agent = agents[name]
                    self.assertEqual(agent.kind, endpoint.kind)
                    self.assertEqual(agent.models, endpoint.models)
                    self.assertEqual(agent.service, endpoint.service)
                    self.assertEqual(agent.checks_fence, endpoint.checks_fence)

    def test_settings_report_all_findings(self) -> None:
        cases = (
            ("listen: '127.0.0.1:8080'", "listen: '8080'", "$.listen"),
            ("zone:", "zoen:", "$.place.zoen"),
            ("port: 8125", "port: '8125'", "$.statsd.port"),
        )
        good = ROOT / "examples/blue-mahoe/instances/entry-1.json5"
        text = good.read_text(encoding="utf-8").replace('"', "'")
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "entry.json5"
            for right, wrong, _ in cases:
                self.assertIn(right, text)
                text = text.replace(right, wrong)
            file.write_text(text, encoding="utf-8")
            report = settings.load_entry(str(file)).failure()
        places = {finding.location for finding in report.get_findings()}
        self.assertLessEqual({place for _, _, place in cases}, places)

    def test_missing_file_is_a_finding(self) -> None:
        self.assertIsInstance(check.check("/nowhere"), result.Failure)
