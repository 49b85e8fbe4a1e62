"""Checks rules between values of a document, and warns of unusual values.

The rules work on parsed values that the models have not validated. They
therefore also run on a document that the models reject, so that all problems
are reported at once. Values of the wrong type are skipped, because the models
report them.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from banyandale_config import _models as models
from banyandale_config import _problems as problems

# Values beyond these are valid but unusual, and are reported as warnings.
UNUSUAL_RETRY_RATIO = 0.5
UNUSUAL_HEDGE_RATIO = 0.2
UNUSUAL_SHORT_TIMEOUT_MS = 20
UNUSUAL_LONG_TIMEOUT_MS = 120_000
UNUSUAL_SLOTS = 64
UNSAFE_METHODS = frozenset({"POST", "PATCH"})

_Found = Iterator[problems.Problem]


def find_problems(raw: Mapping[str, Any]) -> list[problems.Problem]:
    """Returns the problems of a parsed document."""
    zones = list(_entries(raw, "zones"))
    services = list(_entries(raw, "services"))
    found = [
        *_find_duplicate_names("zones", zones),
        *_find_duplicate_names("services", services),
        *_check_zones(zones),
    ]
    states = {
        zone.get("name"): zone.get("state", "in")
        for _, zone in zones
        if isinstance(zone.get("name"), str)
    }
    addresses: dict[str, str] = {}
    for index, service in services:
        path = ("services", index)
        found.extend(_check_service(path, service))
        found.extend(_check_servers(path, service, states, addresses))
    return found


def _entries(
    parent: Mapping[str, Any], key: str
) -> Iterator[tuple[int, Mapping[str, Any]]]:
    values = parent.get(key)
    if isinstance(values, list | tuple):
        for index, value in enumerate(values):
            if isinstance(value, Mapping):
                yield index, value


def _number(parent: Mapping[str, Any], key: str, default: Any) -> float | None:
    value = parent.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return value


def _service_number(service: Mapping[str, Any], key: str) -> float | None:
    return _number(service, key, models.ServiceModel.model_fields[key].default)


def _error(path: problems.Path, text: str) -> problems.Problem:
    return problems.Problem(path=path, text=text)


def _warning(path: problems.Path, text: str) -> problems.Problem:
    return problems.Problem(
        path=path, text=text, severity=problems.Severity.WARNING
    )


def _find_duplicate_names(
    key: str, entries: list[tuple[int, Mapping[str, Any]]]
) -> _Found:
    first: dict[str, int] = {}
    for index, entry in entries:
        name = entry.get("name")
        if not isinstance(name, str):
            continue
        if name in first:
            yield _error(
                (key, index, "name"),
                f"{name!r} is already the name of {key}[{first[name]}]",
            )
        first.setdefault(name, index)


def _check_zones(zones: list[tuple[int, Mapping[str, Any]]]) -> _Found:
    if zones and all(zone.get("state") == "out" for _, zone in zones):
        yield _warning(("zones",), "every zone is out of service")


def _check_service(path: problems.Path, service: Mapping[str, Any]) -> _Found:
    timeout = _service_number(service, "timeout_ms")
    max_timeout = _service_number(service, "max_timeout_ms")
    if (
        timeout is not None
        and max_timeout is not None
        and timeout > max_timeout
    ):
        yield _error(
            (*path, "timeout_ms"),
            f"{timeout} is longer than max_timeout_ms, {max_timeout}",
        )
    if timeout is not None and timeout < UNUSUAL_SHORT_TIMEOUT_MS:
        yield _warning((*path, "timeout_ms"), f"{timeout} ms is very short")
    if max_timeout is not None and max_timeout > UNUSUAL_LONG_TIMEOUT_MS:
        yield _warning(
            (*path, "max_timeout_ms"), f"{max_timeout} ms is very long"
        )
    for key, threshold in (
        ("retry_ratio", UNUSUAL_RETRY_RATIO),
        ("hedge_ratio", UNUSUAL_HEDGE_RATIO),
    ):
        ratio = _service_number(service, key)
        if ratio is not None and ratio > threshold:
            yield _warning(
                (*path, key), f"{ratio} adds a lot of load when servers fail"
            )
    methods = service.get("idempotent_methods")
    if isinstance(methods, list | tuple):
        for index, method in enumerate(methods):
            if method in UNSAFE_METHODS:
                yield _warning(
                    (*path, "idempotent_methods", index),
                    f"{method} requests may then run more than once",
                )


def _check_servers(
    path: problems.Path,
    service: Mapping[str, Any],
    states: Mapping[str, Any],
    addresses: dict[str, str],
) -> _Found:
    servers = list(_entries(service, "servers"))
    for index, server in servers:
        server_path = (*path, "servers", index)
        yield from _check_server(server_path, service, server, states)
        address = server.get("address")
        if not isinstance(address, str):
            continue
        if address in addresses:
            # Each of the two services would use all slots of the server.
            yield _error(
                (*server_path, "address"),
                f"{address} is already the address of {addresses[address]}",
            )
        addresses.setdefault(address, problems.format_path(server_path))
    usable = [
        server
        for _, server in servers
        if server.get("state", "in") == "in"
        and states.get(_zone_of(server)) == "in"
    ]
    if not usable:
        yield _warning(
            (*path, "servers"), "no server takes new work: none is in service"
        )
    elif len({_zone_of(server) for server in usable}) == 1 < len(states):
        yield _warning(
            (*path, "servers"),
            f"all servers in service are in zone {_zone_of(usable[0])!r}",
        )


def _zone_of(server: Mapping[str, Any]) -> str:
    zone = server.get("zone")
    return zone if isinstance(zone, str) else ""


def _check_server(
    path: problems.Path,
    service: Mapping[str, Any],
    server: Mapping[str, Any],
    states: Mapping[str, Any],
) -> _Found:
    fields = models.ServerModel.model_fields
    zone = server.get("zone")
    if isinstance(zone, str) and zone not in states:
        yield _error((*path, "zone"), f"zone {zone!r} is not in zones")
    slots = _number(server, "slots", fields["slots"].default)
    cold_limit = _service_number(service, "cold_limit")
    if slots is not None and cold_limit is not None and cold_limit > slots:
        yield _error(
            (*path, "slots"),
            f"cold_limit of the service, {cold_limit}, exceeds {slots} slots",
        )
    if slots is not None and slots > UNUSUAL_SLOTS:
        yield _warning((*path, "slots"), f"{slots} slots are unusually many")
    connections = _number(server, "connections", fields["connections"].default)
    if None not in (slots, connections) and connections < slots:
        yield _error(
            (*path, "connections"),
            f"{connections} connections are fewer than the {slots} slots",
        )
