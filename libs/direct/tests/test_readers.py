"""Tests of the election of the gateways that read the store."""

from banyandale_direct import _readers as readers


def test_the_first_reads_and_the_others_follow():
    """Guards against a store watch by every gateway."""
    first = readers.ReaderElection(started_at=0.0)
    second = readers.ReaderElection(started_at=0.0)
    start = readers.STARTUP_LISTEN_SECONDS
    assert not first.should_read(now=start - 0.1, rank=0)
    assert first.should_read(now=start, rank=0)
    second.record_digest(now=start, ahead=True, reading=True)
    assert not second.should_read(now=start + 0.9, rank=1)


def test_the_next_takes_over_within_the_users_bound():
    """Guards against updates that stop when the reader hangs."""
    for rank in range(1, 60):
        election = readers.ReaderElection(started_at=0.0)
        election.record_digest(now=10.0, ahead=True, reading=True)
        # Gateways decide every 0.2 s; a call takes 10 ms.
        assert election.should_read(now=10.0 + 1.75, rank=rank)


def test_a_reader_without_answers_does_not_count():
    """Guards against a zone that waits for a reader rejected by the store."""
    election = readers.ReaderElection(started_at=0.0)
    election.record_digest(now=10.0, ahead=True, reading=False)
    assert election.should_read(now=10.0, rank=1)


def test_a_later_one_does_not_stop_an_earlier_one():
    """Guards against two gateways that wait for each other."""
    election = readers.ReaderElection(started_at=0.0)
    election.record_digest(now=10.0, ahead=False, reading=True)
    assert election.should_read(now=10.0, rank=0)


def test_a_starting_gateway_that_hears_nobody_reads_soon():
    """Guards against calls rejected after a restart of all gateways.

    The seed gateways started last. The others listened for them for
    `STARTUP_LISTEN_SECONDS` and had no configuration until then.
    """
    election = readers.ReaderElection(started_at=0.0)
    soon = readers.ALONE_LISTEN_SECONDS
    assert not election.should_read(now=soon - 0.01, rank=0, alone=True)
    assert election.should_read(now=soon, rank=0, alone=True)
    # A gateway that hears others waits for the reader among them.
    assert not election.should_read(now=soon, rank=0, alone=False)


def test_a_gateway_that_others_know_of_reads_at_once():
    """Guards against a needless wait of the seeds when all gateways restart."""
    election = readers.ReaderElection(started_at=0.0, immediately=True)
    assert election.should_read(now=0.0, rank=0)
