"""Tests of the gateways' own entries in the store."""

import random

import curio

import banyandale_core as core
from banyandale_direct import _members as members
from banyandale_direct import _registration as registration
from banyandale_platform import testing

KIND = "gateways"


class Documents:
    """Writes entries that name nothing but the zone."""

    member_kind = KIND

    def write_member(self, member):
        return member.zone.encode()

    def read_member(self, stored):
        return members.Member(
            ip=stored.name,
            zone=stored.value.decode(),
            started_unix_ms=0,
            beat=0,
            ready=False,
        )


def make_registration(store):
    table = members.MemberTable(
        own=members.Member(
            ip="10.0.0.1", zone="a", started_unix_ms=1, beat=0, ready=True
        ),
        random_source=random.Random(1),
    )
    return registration.Registration(
        store=store,
        documents=Documents(),
        table=table,
        events=core.EventLog(),
        metrics=core.MemoryMetrics(),
        random_source=random.Random(1),
    )


def test_an_entry_that_the_store_has_lost_is_written_again():
    """Guards against gateways that nobody finds any more."""

    async def main():
        store = testing.MemoryStore()
        entries = make_registration(store)
        empty = store.copy()
        await entries._exchange_entries()
        assert store.peek(kind=KIND, name="10.0.0.1") is not None
        await store.restore(empty)
        assert store.peek(kind=KIND, name="10.0.0.1") is None
        await entries._exchange_entries()
        assert store.peek(kind=KIND, name="10.0.0.1") is not None

    curio.run(main)


def test_an_entry_that_exists_is_not_written():
    """Guards against a write, which is paid for, in each round."""

    async def main():
        store = testing.MemoryStore()
        entries = make_registration(store)
        for _ in range(3):
            await entries._exchange_entries()
        assert store.counts[f"create.{KIND}"] == 1
        # A gateway that has restarted finds the entry from before.
        await make_registration(store)._exchange_entries()
        assert store.counts[f"create.{KIND}"] == 1

    curio.run(main)
