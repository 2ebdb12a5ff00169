"""Requests stay within the regions that their route and workspace allow."""

from typing import Any
from typing import Final
import unittest
from unittest import mock

import msgspec

from eelgrassgate import logs
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import eligibility
from eelgrassgate.gateway import regions
from eelgrassgate.peering import loads
from eelgrassgate.platform import documents
from eelgrassgate.standins import endpoint
from tests import site as site_lib
from tests import test_decisions

R1: Final = frozenset({"r1"})
R2: Final = frozenset({"r2"})
NONE: Final[frozenset[str]] = frozenset()
ABSENT: Final = object()
KINDS: Final = ("/plain/a", "/twice/a", "/stream/a", "/resumable/a", "/open/a")


def restrict_routes(allowed: frozenset[str] | None) -> catalog.Catalog:
    return site_lib.make_catalog(
        [
            msgspec.structs.replace(one, allowed_regions=allowed)
            for one in site_lib.ROUTES
        ]
    )


def restrict_workspace(allowed: frozenset[str]) -> catalog.Catalog:
    found = site_lib.make_catalog()
    workspace = catalog.Workspace(
        site_lib.WORKSPACE, 0.0, 0.0, allowed_regions=allowed
    )
    return msgspec.structs.replace(
        found, workspaces_by_name={site_lib.WORKSPACE: workspace}
    )


class EligibilityTest(unittest.TestCase):
    def test_reasons(self) -> None:
        reason = eligibility.Reason
        cases: tuple[tuple[dict[str, Any], eligibility.Reason | None], ...] = (
            ({}, None),
            ({"is_quarantined": True}, reason.QUARANTINED),
            ({"is_in_region": False, "is_draining": True}, reason.REGION),
            ({"is_evacuated": True, "is_draining": True}, reason.EVACUATED),
            ({"is_draining": True, "limit_wait_s": 1.0}, reason.DRAINING),
            ({"is_unhealthy": True, "limit_wait_s": 1.0}, reason.UNHEALTHY),
            ({"limit_wait_s": 0.1}, reason.LIMITED),
            ({"limit_wait_s": 0.1, "is_cold": True}, reason.COLD),
            ({"is_cold": True}, None),
        )
        for fields, expected in cases:
            with self.subTest(fields):
                self.assertIs(eligibility.find_reason(**fields), expected)

    def test_regions(self) -> None:
        for region, allowed, expected in (
            ("r1", None, True),
            (None, None, True),
            ("r1", R1, True),
            ("r2", R1, False),
            (None, R1, False),
            ("r1", NONE, False),
        ):
            with self.subTest(region=region, allowed=allowed):
                self.assertIs(
                    eligibility.is_region_allowed(region, allowed), expected
                )


class ConfigTest(unittest.TestCase):
    def decode(self, route: Any, tenant: Any) -> catalog.Catalog:
        fields: dict[str, Any] = {
            "version": 1,
            "routes": [
                {"name": "a", "host": "h", "prefix": "/a/", "kind": "safe"}
            ],
            "tenants": [{"name": "w", "api-keys": ["k"]}],
        }
        for one, value in (
            (fields["routes"], route),
            (fields["tenants"], tenant),
        ):
            if value is not ABSENT:
                one[0]["allowed-regions"] = value
        found = documents.decode_config(msgspec.json.encode(fields))
        assert found is not None
        return found

    def test_restrictions_of_route_and_workspace(self) -> None:
        """A malformed field allows no region; the rest applies."""
        for route, tenant, expected, findings in (
            (ABSENT, ABSENT, None, 0),
            ([], [], None, 0),
            (["r1"], [], R1, 0),
            (ABSENT, ["r2"], R2, 0),
            (["r1", "r2"], ["r2"], R2, 0),
            (["r1"], ["r2"], NONE, 0),
            ("r1", ABSENT, NONE, 1),
            (None, ABSENT, NONE, 1),
            (["r1", 2], ABSENT, NONE, 1),
            ({"r1": True}, ["r1"], NONE, 1),
            (["r1"], 3, NONE, 1),
        ):
            with (
                self.subTest(route=route, tenant=tenant),
                mock.patch.object(logs, "log_message") as log,
            ):
                found = self.decode(route, tenant)
                restriction = regions.create_restriction(
                    lambda found=found: found,  # type: ignore[misc]
                    "h",
                    "/a/x",
                    site_lib.ROUTES[0],
                    found.workspace_by_key["k"],
                )
                self.assertEqual(restriction.read(), expected)
                self.assertEqual(log.call_count, findings)

    def test_unknown_regions_are_logged_and_allow_nothing(self) -> None:
        found = self.decode(["r1", "r9"], ["r8"])
        with mock.patch.object(logs, "log_message") as log:
            regions.log_unknown_regions(found, ["r1", "r2"])
        self.assertEqual(
            [one.kwargs["location"] for one in log.call_args_list],
            ["routes/a", "workspaces/w"],
        )
        placement = test_decisions.make_placement(
            loads.create_loads(),
            test_decisions.Clock(),
            test_decisions.make_endpoint("a"),
        )
        self.assertFalse(placement.has_endpoints("engine", frozenset({"r9"})))

    def test_a_removed_route_keeps_its_last_restriction(self) -> None:
        """A retry must not leave the regions when its route is removed."""
        current = self.decode(["r1"], ["r1", "r2"])
        route = current.find_route("h", "/a/x")
        assert route is not None
        restriction = regions.create_restriction(
            lambda: current, "h", "/a/x", route, "w"
        )
        self.assertEqual(restriction.read(), R1)
        current = site_lib.make_catalog([])
        self.assertEqual(restriction.read(), R1)


class PlacementTest(unittest.TestCase):
    def test_only_allowed_regions_are_chosen(self) -> None:
        """The nearest endpoint is no choice if its region is not allowed."""
        placement = test_decisions.make_placement(
            loads.create_loads(),
            test_decisions.Clock(),
            test_decisions.make_endpoint("near"),
            test_decisions.make_endpoint("far", "z3"),
            test_decisions.make_endpoint("nowhere", "z9"),
        )
        for allowed, expected in ((R1, "near"), (R2, "far"), (NONE, None)):
            with self.subTest(allowed=allowed):
                for _ in range(20):
                    choice = placement.choose_endpoint(
                        "engine", regions=allowed
                    )
                    found = choice and choice.endpoint.id
                    self.assertEqual(found, expected)
        self.assertIs(
            placement.explain_absence("engine", NONE),
            eligibility.Reason.REGION,
        )


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    def register(self, site: site_lib.Site, *zones: str) -> None:
        site.placement.set_endpoints(
            {
                one.name: catalog.Endpoint(
                    one.name, "engine", one.address, zone, 8
                )
                for one, zone in zip(site.endpoints, zones, strict=True)
            }
        )

    async def test_requests_use_allowed_regions_only(self) -> None:
        for name, found, statuses in (
            ("route", restrict_routes(R2), [200] * 5),
            ("workspace", restrict_workspace(R2), [200] * 5),
            ("no region", restrict_routes(NONE), [503] * 5),
        ):
            async with site_lib.open_site("e1", "e2") as site:
                self.register(site, "z1", "z3")
                site.catalog = found
                for path, status in zip(KINDS, statuses, strict=True):
                    with self.subTest(name, path=path):
                        response = await site_lib.call(site.address, path)
                        self.assertEqual(response.status, status)
                        if status != 200:
                            self.assertIn(b"retry-after", response.headers)
                self.assertEqual(site.endpoints[0].runs, [])

    async def test_retries_and_resumed_streams_stay_inside(self) -> None:
        """The only other endpoint is outside, so nothing moves there."""
        for path, fault, status in (
            ("/plain/a", {"is_overloaded": True}, 503),
            ("/plain/a", {"abort_after_events": 2}, 502),
            ("/resumable/a", {"abort_after_events": 2}, 200),
        ):
            async with site_lib.open_site("e1", "e2") as site:
                self.register(site, "z1", "z3")
                site.catalog = restrict_routes(R1)
                site.endpoints[0].behavior = endpoint.Behavior(**fault)
                with self.subTest(path, fault=fault):
                    response = await site_lib.call(site.address, path)
                    self.assertEqual(response.status, status)
                    self.assertEqual(site.endpoints[1].runs, [])

    async def test_a_change_applies_to_retries(self) -> None:
        async with site_lib.open_site("e1", "e2") as site:
            self.register(site, "z1", "z3")
            site.endpoints[0].behavior = endpoint.Behavior(status=500)
            run = site.endpoints[0].runs

            def read() -> catalog.Catalog:
                if run:
                    return restrict_routes(R1)
                return site_lib.make_catalog()

            with mock.patch.object(
                type(site), "catalog", property(lambda _: read()), create=True
            ):
                del site.__dict__["catalog"]
                response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual(response.status, 500)
            self.assertEqual(site.endpoints[1].runs, [])
