"""Tests of Prometheus metrics."""

import banyandale_core as core


def test_counters_gauges_and_histograms_are_rendered():
    """Guards against metrics missing from the rendered text."""
    metrics = core.PrometheusMetrics()
    metrics.incr("refused:no_room", 2)
    metrics.gauge("open_calls", 3)
    metrics.timing("call:answered", 250)
    text = metrics.render().decode()
    refused = 'banyandale_events_total{name="refused",reason="no_room"} 2.0'
    assert refused in text
    assert 'banyandale_level{name="open_calls"} 3.0' in text
    assert (
        'banyandale_duration_seconds_bucket{le="0.3",name="call",'
        'reason="answered"} 1.0' in text
    )
    assert metrics.counters["refused:no_room"] == 2
