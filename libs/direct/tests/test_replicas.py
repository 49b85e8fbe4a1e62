"""Tests of the replicas that gateways pass to each other."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from banyandale_direct import _replicas as replicas
from banyandale_direct import _versions as versions
import banyandale_platform as platform

KIND = "servers"


def make_object(name, version):
    return platform.StoredObject(
        kind=KIND, name=name, version=version, value=str(version).encode()
    )


def at(version, steps):
    return version._replace(revision=version.revision + steps)


def apply_all(stored, changes):
    result = dict(stored)
    for change in changes:
        if change.type is platform.ChangeType.PUT:
            result[change.object.name] = change.object
        else:
            result.pop(change.object.name)
    return result


class CopiesMachine(stateful.RuleBasedStateMachine):
    """A store, a replica that reads it and replicas that read each other."""

    def __init__(self):
        super().__init__()
        self.version = versions.Version(0, 1)
        self.stored = {}
        # Changes of all eras: those of an era follow its copy.
        self.log = []
        self.copies_of_eras = {0: (1, {})}
        self.copies = [replicas.Replica(kind=KIND) for _ in range(3)]
        self.lists()

    @stateful.rule(
        names=strategies.text("abcd", min_size=1, max_size=6),
        delete=strategies.booleans(),
    )
    def change(self, names, delete):
        for name in names:
            self._change(name, delete)

    def _change(self, name, delete):
        if delete and name not in self.stored:
            return
        self.version = at(self.version, 1)
        if delete:
            # A deletion carries the version of the last write.
            change = platform.Change(
                type=platform.ChangeType.DELETE, object=self.stored.pop(name)
            )
        else:
            self.stored[name] = make_object(name, self.version.revision)
            change = platform.Change(
                type=platform.ChangeType.PUT, object=self.stored[name]
            )
        self.log.append((self.version, change))

    @stateful.rule(lost=strategies.integers(0, 4))
    def restore(self, lost):
        """The store comes back from a copy and lacks the latest changes."""
        era, revision = self.version
        first, stored = self.copies_of_eras[era]
        kept = [entry for entry in self.log if entry[0].era == era]
        kept = kept[: max(len(kept) - lost, 0)]
        stored = apply_all(stored, [change for _, change in kept])
        revision = kept[-1][0].revision if kept else first
        self.version = versions.Version(era + 1, revision)
        self.copies_of_eras[era + 1] = (revision, stored)
        self.stored = dict(stored)

    @stateful.rule()
    def lists(self):
        self.copies[0].apply_listing(
            platform.Listing(
                version=self.version.revision,
                objects=tuple(self.stored.values()),
                era=self.version.era,
            )
        )

    @stateful.rule(back=strategies.integers(0, 3))
    def watches(self, back):
        """Applies a watch result whose changes are partly known."""
        era, revision = self.version
        since = max(self.copies[0].version.revision - back, 1)
        self.copies[0].apply_changes(
            platform.Changes(
                version=revision,
                changes=tuple(
                    change
                    for changed_at, change in self.log
                    if changed_at.era == era and changed_at.revision > since
                ),
                era=era,
            )
        )

    @stateful.rule(
        giver=strategies.integers(0, 2), taker=strategies.integers(0, 2)
    )
    def hands_over(self, giver, taker):
        copy = self.copies[taker]
        delta = self.copies[giver].delta(copy.version)
        if delta is None or not copy.can_apply(delta):
            return
        if delta.complete:
            copy.apply_listing(
                platform.Listing(
                    version=delta.version.revision,
                    objects=tuple(c.object for c in delta.changes),
                    era=delta.version.era,
                )
            )
        else:
            copy.apply_changes(
                platform.Changes(
                    version=delta.version.revision,
                    changes=delta.changes,
                    era=delta.version.era,
                )
            )
        assert copy.version == self.copies[giver].version

    @stateful.invariant()
    def each_copy_is_a_state_of_the_store(self):
        """Guards against replicas that miss, retain or restore an object."""
        for copy in self.copies:
            if copy.version is None:
                continue
            era = copy.version.era
            _, stored = self.copies_of_eras[era]
            expected = apply_all(
                stored,
                [
                    change
                    for changed_at, change in self.log
                    if changed_at.era == era and changed_at <= copy.version
                ],
            )
            assert {o.name: o for o in copy.objects()} == expected


CopiesMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestCopies = CopiesMachine.TestCase


def test_a_copy_that_is_far_behind_gets_everything():
    """Guards against lost changes when a replica lags by more than is kept."""
    source = replicas.Replica(kind=KIND)
    source.apply_listing(platform.Listing(version=1, objects=()))
    for version in range(2, replicas.KEPT_CHANGES + 10):
        source.apply_changes(
            platform.Changes(
                version=version,
                changes=(
                    platform.Change(
                        type=platform.ChangeType.PUT,
                        object=make_object("a", version),
                    ),
                ),
            )
        )
    assert source.delta(versions.Version(0, 1)).complete
    recent = source.delta(at(source.version, -1))
    assert not recent.complete
    assert len(recent.changes) == 1


def test_changes_of_another_era_are_not_applied():
    """Guards against a replica that joins two histories of the store."""
    change = platform.Change(
        type=platform.ChangeType.PUT, object=make_object("b", 12)
    )
    for era in (0, 2):
        copy = replicas.Replica(kind=KIND)
        listed = (make_object("a", 10),)
        copy.apply_listing(platform.Listing(version=10, objects=listed, era=1))
        changes = platform.Changes(version=12, changes=(change,), era=era)
        assert copy.apply_changes(changes) == ()
        delta = replicas.Delta(
            kind=KIND,
            since=versions.Version(era, 10),
            version=versions.Version(era, 12),
            complete=False,
            changes=(change,),
        )
        assert not copy.can_apply(delta)
        assert copy.objects() == listed


def test_a_replica_of_an_earlier_era_gets_everything():
    """Guards against changes after a revision that means something else."""
    source = replicas.Replica(kind=KIND)
    source.apply_listing(
        platform.Listing(version=5, objects=(make_object("a", 3),), era=1)
    )
    delta = source.delta(versions.Version(0, 5))
    assert delta.complete
    ahead = replicas.Replica(kind=KIND)
    ahead.apply_listing(platform.Listing(version=50, objects=(), era=0))
    assert ahead.can_apply(delta)
    assert source.delta(versions.Version(2, 1)) is None
    older = ahead.delta(None)
    assert not source.can_apply(older)
