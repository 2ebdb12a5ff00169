"""Checks references between the parts of the configuration.

The checks run on the merged document before it is converted to types, so that
their problems are reported together with those of the schema.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import Final

from eelgrassgate import documents

RESERVED_PREFIXES: Final = ("/v1", "/healthz", "/readyz", "/operators")


def check(document: Any) -> Iterator[documents.Problem]:
    """Yield each problem with its path."""
    yield from _check_workspaces(document)
    yield from _check_keys(document)
    yield from _check_endpoints(document)
    yield from _check_routes(document)
    yield from _check_unserved(document)
    yield from _check_limits(document)


def _get_part(document: Any, name: str) -> dict[str, Any]:
    part = document.get(name, {}) if isinstance(document, dict) else {}
    return part if isinstance(part, dict) else {}


def _iterate_members(
    document: Any, name: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    for member, value in _get_part(document, name).items():
        if isinstance(value, dict):
            yield member, value


def _find_unknown(
    path: documents.JsonPath, name: Any, kind: str, known: Iterable[str]
) -> Iterator[documents.Problem]:
    if isinstance(name, str) and name not in known:
        yield path, f"unknown {kind} `{name}`{documents.suggest(name, known)}"


def _check_workspaces(document: Any) -> Iterator[documents.Problem]:
    for name, workspace in _iterate_members(document, "workspaces"):
        for field in ("rate", "batch_rate"):
            rate = workspace.get(field)
            burst = rate.get("burst") if isinstance(rate, dict) else None
            if isinstance(burst, int | float) and 0 < burst < 1:
                path = ("workspaces", name, field, "burst")
                yield path, "a burst below 1 rejects every request"


def _check_keys(document: Any) -> Iterator[documents.Problem]:
    workspaces = _get_part(document, "workspaces")
    names_by_digest: dict[str, str] = {}
    for name, key in _iterate_members(document, "keys"):
        path = ("keys", name)
        yield from _find_unknown(
            (*path, "workspace"),
            key.get("workspace"),
            "workspace",
            workspaces,
        )
        digest = key.get("digest")
        if not isinstance(digest, str):
            continue
        other = names_by_digest.setdefault(digest, name)
        if other != name:
            yield (*path, "digest"), f"the same digest as key `{other}`"


def _check_endpoints(document: Any) -> Iterator[documents.Problem]:
    models = _get_part(document, "models")
    services = _get_part(document, "services")
    for name, endpoint in _iterate_members(document, "endpoints"):
        path = ("endpoints", name)
        yield from _check_kind(path, endpoint)
        if endpoint.get("service"):
            yield from _find_unknown(
                (*path, "service"), endpoint["service"], "service", services
            )
        served = endpoint.get("models", ())
        for index, model in enumerate(
            served if isinstance(served, list) else ()
        ):
            yield from _find_unknown(
                (*path, "models", index), model, "model", models
            )


def _check_kind(
    path: documents.JsonPath, endpoint: dict[str, Any]
) -> Iterator[documents.Problem]:
    kind = endpoint.get("kind")
    if kind == "engine" and not endpoint.get("models"):
        yield path, "an engine must name its `models`"
    if kind == "engine" and endpoint.get("service"):
        yield (*path, "service"), "an engine belongs to no service"
    if kind == "service" and not endpoint.get("service"):
        yield path, "a plain service's endpoint must name its `service`"
    if kind == "service" and endpoint.get("models"):
        yield (*path, "models"), "a plain service serves no models"


def _check_routes(document: Any) -> Iterator[documents.Problem]:
    services = _get_part(document, "services")
    for prefix, route in _iterate_members(document, "routes"):
        path = ("routes", prefix)
        yield from _find_unknown(
            (*path, "service"), route.get("service"), "service", services
        )
        if not prefix.startswith("/") or prefix.endswith("/"):
            yield path, "a route starts with `/` and does not end with it"
        for reserved in RESERVED_PREFIXES:
            if f"{prefix}/".startswith(f"{reserved}/"):
                yield path, f"`{reserved}` is a reserved prefix"


def _check_unserved(document: Any) -> Iterator[documents.Problem]:
    """Yield models and services that no endpoint serves."""
    models: set[str] = set()
    services: set[str] = set()
    for _, endpoint in _iterate_members(document, "endpoints"):
        served = endpoint.get("models", ())
        if isinstance(served, list):
            models.update(name for name in served if isinstance(name, str))
        if isinstance(endpoint.get("service"), str):
            services.add(endpoint["service"])
    for kind, served_names in (("models", models), ("services", services)):
        for name in _get_part(document, kind):
            if name not in served_names:
                yield (kind, name), "no endpoint serves it"


def _check_limits(document: Any) -> Iterator[documents.Problem]:
    limits = _get_part(document, "limits")
    unconfirmed_s = _get_number(limits, "unconfirmed_serving_s")
    outage_s = _get_number(limits, "outage_serving_s")
    if (
        unconfirmed_s is not None
        and outage_s is not None
        and outage_s < unconfirmed_s
    ):
        path = ("limits", "outage_serving_s")
        yield path, "must not be below `unconfirmed_serving_s`"
    link = _get_part(document, "link")
    control = _get_number(link, "control_part")
    batch = _get_number(link, "batch_part")
    if control is not None and batch is not None and control + batch > 1:
        yield ("link",), "`control_part` and `batch_part` exceed 1 together"


def _get_number(part: dict[str, Any], name: str) -> float | None:
    value = part.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value
