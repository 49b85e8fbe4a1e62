"""Tests of the settings file."""

import pytest

import banyandale_adapter as adapter

TEXT = """
node = "edge-a-1"
nodeIp = "10.1.0.15"
zone = "a"
internalPorts = [7620,7635]
seedNodes = ["10.1.0.15:8649","10.2.0.42:8649"]
unknownField = 3
[zones]
a = "r"
b = "r"
[listen]
front = "10.1.0.15:8641"
ready = "10.1.0.15:8640"
directory = "10.1.0.15:8644"
[contractBounds]
graceS = 6
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
ttl_max_s = 5
[platformApi]
address = "10.200.1.7:8642"
"""


def read(text=TEXT):
    return adapter.read_settings(
        text, metrics_port=9464, metrics_path="/metrics"
    )


def test_settings_are_read_whole():
    """Guards against addresses that are taken from the wrong field."""
    loaded = read()
    assert loaded.call_address == "10.1.0.15:8641"
    assert loaded.peer_address == "10.1.0.15:7620"
    assert loaded.seed_ips == ("10.1.0.15", "10.2.0.42")
    assert loaded.metrics_address == "10.1.0.15:9464"
    assert (loaded.repeat_ratio, loaded.repeat_slack) == (0.2, 58)


@pytest.mark.parametrize(
    "text",
    [
        "not toml [",
        TEXT.replace("graceS = 6", ""),
        TEXT.replace("graceS = 6", 'graceS = "soon"'),
        TEXT.replace('zone = "a"', ""),
    ],
)
def test_settings_that_cannot_be_used_are_refused(text):
    """Guards against a start with missing or invalid settings."""
    with pytest.raises(ValueError, match=r"."):
        read(text)
