"""Tests of the questions between gateways whether a content may be sent."""

import os
import time

import curio

import banyandale_core as core
from banyandale_direct import _crash_records as crash_records
from banyandale_direct import _first_sends as first_sends
from banyandale_direct import _send_permits as send_permits

CONTENT = b"c" * 16
# Derived from the process id, so that parallel test runs do not collide.
PORT = 28_000 + os.getpid() % 4000
DECIDER = "127.0.9.1"
GATEWAYS = (DECIDER, "127.0.9.2", "127.0.9.3")
LEASE_SECONDS = 5.0
GRANTED = first_sends.Decision.GRANTED
BUSY = first_sends.Decision.BUSY
ANSWERED = first_sends.Decision.ANSWERED


class Gateway:
    """One gateway's side of the exchange."""

    def __init__(self, ip):
        self.answered = first_sends.RecentContents()
        self.permits = send_permits.SendPermits(
            own_ip=ip,
            port=PORT,
            list_deciders=lambda fingerprint: list(GATEWAYS),
            decider=first_sends.Decider(
                crashes=crash_records.CrashTable(),
                leases=crash_records.TrialLeases(),
                answered=self.answered,
            ),
            answered=self.answered,
            events=core.EventLog(),
            metrics=core.MemoryMetrics(),
        )

    async def ask(self):
        return await self.permits.ask(
            CONTENT,
            number=self.permits.draw_number(),
            lease_seconds=LEASE_SECONDS,
        )

    async def decide(self):
        return await self.permits.wait(await self.ask())

    def end(self, asked):
        self.permits.end(CONTENT, number=asked.number, ip=asked.ip)


def run_gateways(scenario, *, running=GATEWAYS):
    async def main():
        gateways = [Gateway(ip) for ip in GATEWAYS]
        tasks = [
            await curio.spawn(gateway.permits.receive, daemon=True)
            for gateway, ip in zip(gateways, GATEWAYS, strict=True)
            if ip in running
        ]
        await scenario(*gateways)
        for task in tasks:
            await task.cancel()
        for gateway in gateways:
            await gateway.permits.close()

    curio.run(main)


def test_a_copy_at_another_gateway_waits_until_the_first_has_ended():
    async def scenario(decider, first, second):
        asked = await first.ask()
        await curio.sleep(0.02)
        assert await second.decide() is BUSY
        assert await decider.decide() is BUSY
        first.end(asked)
        # The question makes the decider ask whether the first has ended.
        assert await second.decide() is BUSY
        await curio.sleep(0.02)
        assert await second.decide() is GRANTED

    run_gateways(scenario)


def test_an_answered_content_is_free_for_all():
    async def scenario(decider, first, second):
        asked = await first.ask()
        await curio.sleep(0.02)
        first.answered.add(CONTENT, now=core.boot_seconds())
        first.end(asked)
        assert await second.decide() is BUSY
        await curio.sleep(0.02)
        assert await second.decide() is ANSWERED
        assert await decider.decide() is ANSWERED
        assert second.answered.contains(CONTENT, now=core.boot_seconds())

    run_gateways(scenario)


def test_a_content_is_free_before_the_whole_answer_is_there():
    """Guards against copies that wait until a long stream has ended."""

    async def scenario(decider, first, second):
        await first.ask()
        assert await second.decide() is BUSY
        first.answered.add(CONTENT, now=core.boot_seconds())
        assert await second.decide() is BUSY
        await curio.sleep(0.02)
        assert await second.decide() is ANSWERED

    run_gateways(scenario)


def test_a_decision_that_comes_too_late_takes_effect():
    async def scenario(decider, first, _):
        decider.answered.add(CONTENT, now=core.boot_seconds())
        asked = await first.ask()
        asked.decide_by = 0.0
        assert await first.permits.wait(asked) is None
        await curio.sleep(0.02)
        assert first.answered.contains(CONTENT, now=core.boot_seconds())

    run_gateways(scenario)


def test_a_gateway_that_does_not_answer_holds_back_no_call():
    """Guards against calls that wait for a gateway that has just ended."""

    async def scenario(_, first, __):
        begin = time.monotonic()
        assert await first.decide() is None
        assert time.monotonic() - begin < 2 * send_permits.DECISION_SECONDS
        # The next gateway decides until the first one is heard of again.
        asked = await first.ask()
        assert asked.ip == GATEWAYS[1]

    run_gateways(scenario, running=GATEWAYS[1:])


def test_sends_of_an_earlier_process_are_not_told_as_ended():
    """Guards against copies of a call whose gateway was restarted."""

    async def scenario(decider, first, second):
        await first.permits.ask(CONTENT, number=1, lease_seconds=LEASE_SECONDS)
        first.permits.end(CONTENT, number=1, ip=DECIDER)
        await curio.sleep(0.02)
        assert await second.decide() is BUSY
        await curio.sleep(0.02)
        assert await second.decide() is BUSY

    run_gateways(scenario)


def test_malformed_datagrams_change_nothing():
    async def scenario(decider, first, second):
        for data in (b"", b"x" * 9, b"\xff" * 29, b"\x00" * 500):
            await first.permits.send_bytes(DECIDER, data)
        assert await second.decide() is GRANTED

    run_gateways(scenario)
