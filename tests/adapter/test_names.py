"""Tests that only the adapter uses the platform's names."""

import pathlib

ROOT = pathlib.Path(__file__).parents[2]
NAMES = (
    "x-request-id",
    "x-deadline-ms",
    "x-response-seal",
    "x-expect-instance",
    "x-not-executed",
    "x-server-load",
    "x-instance-id",
    "x-warmup-ms",
    "/banyandale/ready",
    "/banyandale/resolve",
    "/banyandale/objects",
    "pathprefix",
    "nodeinfo",
    "upstreamclusters",
    "capacityslots",
    "contractbounds",
    "platformapi",
)


def test_no_library_uses_the_platforms_names():
    """Guards against a library that only works on one platform."""
    found = [
        (str(path.relative_to(ROOT)), name)
        for path in (ROOT / "libs").glob("*/src/**/*.py")
        for name in NAMES
        if name in path.read_text().lower()
    ]
    assert found == []
