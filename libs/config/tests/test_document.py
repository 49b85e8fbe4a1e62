"""Tests of parsing, checking, comparing and converting documents."""

import copy
import json

import pytest

import banyandale_config as config

RAW = {
    "zones": [{"name": "za"}, {"name": "zb", "state": "out"}, {"name": "zc"}],
    "services": [
        {
            "name": "ledger",
            "priority": 0,
            "servers": [
                {"address": "10.0.0.1:80", "zone": "za"},
                {"address": "10.0.0.2:80", "zone": "zc"},
            ],
        },
        {
            "name": "catalogue",
            "servers": [
                {"address": "10.0.0.3:80", "zone": "za"},
                {"address": "[fd00::1]:80", "zone": "zc", "slots": 4},
            ],
        },
    ],
}


def set_path(raw, path, value):
    *parents, last = path
    for key in parents:
        raw = raw[key]
    raw[last] = value


def find_texts(raw):
    _, found = config.check(raw)
    return {config.format_path(p.path): p.text for p in found if p.is_error}


def test_json_and_yaml_give_the_same_document():
    """Guards against a difference between JSON and YAML documents."""
    document = config.load(json.dumps(RAW))
    assert config.load(config.dump_yaml(document)) == document
    assert config.load(config.dump_json(document)) == document
    assert config.check(RAW) == (document, ())


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        (("zones", 1, "name"), "za", "already the name of zones[0]"),
        (("services", 1, "name"), "ledger", "already the name"),
        (("services", 1, "name"), "Ledger.x", "not allowed"),
        (("services", 0, "color"), "red", "unknown key"),
        (("services", 0, "priority"), "1", "valid integer"),
        (("services", 0, "priority"), 10, "less than or equal to 9"),
        (("services", 0, "timeout_ms"), 40000, "longer than max_timeout_ms"),
        (("services", 0, "retry_ratio"), float("nan"), "finite"),
        (("services", 0, "servers", 0, "zone"), "zd", "not in zones"),
        (("services", 0, "servers", 0, "slots"), True, "valid integer"),
        (("services", 0, "servers", 0, "connections"), 1, "fewer than the"),
        (("services", 0, "servers", 0, "address"), "10.0.0.3", "ip:port"),
        (("services", 0, "servers", 0, "address"), "h:80", "not an IP"),
        (
            ("services", 0, "servers", 0, "address"),
            "[FD00::1]:80",
            "written as [fd00::1]:80",
        ),
    ],
)
def test_wrong_value_is_reported_with_its_path(path, value, text):
    """Guards against accepting invalid values."""
    raw = copy.deepcopy(RAW)
    set_path(raw, path, value)
    texts = find_texts(raw)
    assert list(texts) == [config.format_path(path)]
    assert text in texts[config.format_path(path)]


def test_address_in_two_services_is_an_error():
    """Guards against two services that both use all slots of a server."""
    raw = copy.deepcopy(RAW)
    raw["services"][1]["servers"][0]["address"] = "10.0.0.1:80"
    assert list(find_texts(raw)) == ["services[1].servers[0].address"]


def test_cold_limit_over_slots_is_an_error():
    """Guards against sending a cold server more requests than its slots."""
    raw = copy.deepcopy(RAW)
    raw["services"][0]["cold_limit"] = 3
    assert list(find_texts(raw)) == [
        "services[0].servers[0].slots",
        "services[0].servers[1].slots",
    ]


def test_all_problems_are_listed_at_once():
    """Guards against invalid values that hide conflicts between values."""
    raw = copy.deepcopy(RAW)
    raw["zones"][1]["name"] = "za"
    raw["services"][0]["servers"][0]["zone"] = "zd"
    raw["services"][0]["servers"][1] = 7
    raw["services"][1]["priority"] = None
    del raw["services"][1]["name"]
    assert set(find_texts(raw)) == {
        "zones[1].name",
        "services[0].servers[0].zone",
        "services[0].servers[1]",
        "services[1].priority",
        "services[1].name",
    }


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("services", 0, "idempotent_methods"), ["GET", "POST"]),
        (("services", 0, "retry_ratio"), 0.9),
        (("services", 0, "servers", 0, "slots"), 100),
        (("services", 0, "servers"), []),
        (("services", 0, "servers", 1, "zone"), "za"),
        (("zones", 0, "state"), "out"),
    ],
)
def test_unusual_value_is_a_warning(path, value):
    """Guards against accepting unusual values without a warning."""
    raw = copy.deepcopy(RAW)
    set_path(raw, path, value)
    document, found = config.check(raw)
    assert document is not None
    assert found
    assert not any(problem.is_error for problem in found)


@pytest.mark.parametrize(
    "text",
    [
        '{"zones": [], "zones": []}',
        "zones: []\nzones: []\n",
        "zones: &a [{name: za}]\nservices: *a\n",
        "zones: &a [*a]\n",
        "zones: [\n",
        '{"zones": [}',
        b"\xff\xfe",
        "[" * 100_000,
        '{"a":' * 100_000,
    ],
)
def test_unreadable_text_is_an_error(text):
    """Guards against malformed text, aliases and silently dropped keys."""
    with pytest.raises(config.InvalidDocumentError):
        config.load(text)


@pytest.mark.parametrize("raw", [None, 3, [], {"zones": 3}, {"services": {}}])
def test_value_that_is_no_document_is_an_error(raw):
    """Guards against a crash on values of the wrong type."""
    document, found = config.check(raw)
    assert document is None
    assert found


def test_difference_is_by_name():
    """Guards against reporting a moved entry as a change."""
    raw = copy.deepcopy(RAW)
    raw["services"].reverse()
    raw["services"][1]["servers"][0]["state"] = "leaving"
    raw["services"][0]["name"] = "servers"
    changes = config.compare(config.load(json.dumps(RAW)), config.check(raw)[0])
    assert [(change.path, change.new) for change in changes[1:2]] == [
        (("services", "ledger", "servers", "10.0.0.1:80", "state"), "leaving")
    ]
    assert [str(change)[:22] for change in changes[::2]] == [
        "- services/catalogue: ",
        '+ services/servers: {"',
    ]


def test_snapshot_holds_the_document():
    """Guards against values that are lost in the conversion."""
    snapshot = config.build_snapshot(config.check(RAW)[0], generation=3)
    assert snapshot.generation == 3
    assert snapshot.is_zone_in("za")
    assert not snapshot.is_zone_in("zb")
    assert not snapshot.is_zone_in("zd")
    service = snapshot.find_service("catalogue")
    assert service.servers[1].slots == 4
    assert "GET" in service.idempotent_methods
    assert snapshot.find_service("other") is None
