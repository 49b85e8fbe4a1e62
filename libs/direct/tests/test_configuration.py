"""Tests of route matching."""

import banyandale_direct as direct


def make_route(prefix, name="r"):
    return direct.Route(
        name=name,
        path_prefix=prefix,
        shares=(direct.Share(service="s", weight=1.0),),
        repeatable=True,
        wait_seconds=1.0,
        target_seconds=0.5,
        max_attempts=2,
    )


def test_longest_prefix_of_the_host_wins():
    """Guards against a shorter prefix that takes a longer one's calls."""
    general, special = make_route("/a/", "general"), make_route("/a/b/", "b")
    configuration = direct.Configuration(
        version=1,
        hosts={"h": (general, special), "i": (make_route("/"),)},
        services={},
        limits=direct.Limits(),
    )
    assert configuration.find_route(host="h", path="/a/b/c") is special
    assert configuration.find_route(host="h", path="/a/bc") is general
    assert configuration.find_route(host="h", path="/a") is None
    assert configuration.find_route(host="x", path="/a/b/") is None
