"""Tests that wrong settings are reported together before anything starts."""

import pathlib

import pytest

from banyandale import _settings as settings
from banyandale import _settings_page as settings_page

GOOD = {
    "BANYANDALE_ID": "g1",
    "BANYANDALE_ZONE": "za",
    "BANYANDALE_LISTEN": "127.0.0.1:8000",
    "BANYANDALE_PEER_LISTEN": "127.0.0.1:8001",
    "BANYANDALE_PLATFORM": "127.0.0.1:8002",
    "BANYANDALE_PEER_SECRET": "0123456789abcdef",
}


def load(environment, **flags):
    return settings.load_settings(
        settings.GatewaySettings, flags=flags, environment=environment
    )


def find_problems(environment):
    with pytest.raises(settings.SettingsError) as caught:
        load(environment)
    return [line.partition(":")[0] for line in caught.value.problems]


def test_flag_overrides_variable():
    """Guards against a variable that overrides a flag."""
    loaded = load({**GOOD, "BANYANDALE_STATSD": "", "HOME": "x"}, zone="zb")
    assert loaded.zone == "zb"
    assert loaded.statsd is None
    assert "0123" not in repr(loaded)


def test_all_problems_are_reported_together():
    """Guards against reporting only the first wrong setting."""
    environment = {
        **GOOD,
        "BANYANDALE_LISTEN": "localhost:8000",
        "BANYANDALE_PEER_LISTEN": "0.0.0.0:8001",
        "BANYANDALE_PEER_SECRET": "short",
        "BANYANDALE_PEERS": "127.0.0.1:8001,127.0.0.1",
        "BANYANDALE_SOURCE": "eth0",
        "BANYANDALE_ROUTING": "other",
        "BANYANDALE_ZONES": "za",
    }
    del environment["BANYANDALE_ID"]
    assert find_problems(environment) == [
        "--source (BANYANDALE_SOURCE)",
        "--id (BANYANDALE_ID)",
        "--listen (BANYANDALE_LISTEN)",
        "--peer-advertise (BANYANDALE_PEER_ADVERTISE)",
        "--peer-secret (BANYANDALE_PEER_SECRET)",
        "--peers (BANYANDALE_PEERS)",
        "--routing (BANYANDALE_ROUTING)",
        "BANYANDALE_ZONES",
    ]


def test_unusable_addresses_are_problems():
    """Guards against advertising an address that cannot be connected to."""
    environment = {**GOOD, "BANYANDALE_LISTEN": "0.0.0.0:8000"}
    assert find_problems(environment) == ["--advertise (BANYANDALE_ADVERTISE)"]
    environment["BANYANDALE_ADVERTISE"] = "10.0.0.1:8000"
    assert load(environment).advertise == "10.0.0.1:8000"
    environment = {**GOOD, "BANYANDALE_PEER_LISTEN": "127.0.0.1:8000"}
    assert find_problems(environment) == [
        "--peer-listen (BANYANDALE_PEER_LISTEN)"
    ]


def test_secret_is_not_in_messages():
    """Guards against a secret in error messages and logs."""
    with pytest.raises(settings.SettingsError) as caught:
        load({**GOOD, "BANYANDALE_PEER_SECRET": "pssst"})
    assert "pssst" not in str(caught.value)


def test_settings_page_is_current():
    """Guards against a settings page that differs from the code.

    Regenerate it with `python -m banyandale._settings_page`.
    """
    root = pathlib.Path(__file__).parents[3]
    page = (root / "docs" / "SETTINGS.md").read_text()
    assert page == settings_page.render_page()
