from __future__ import annotations

import itertools
import random
import typing

import curio

from nutmegworks.adapters import store
from nutmegworks.configuration import adoption
from nutmegworks.configuration import change
from nutmegworks.configuration import difference
from nutmegworks.configuration import document
from nutmegworks.configuration import reader
from nutmegworks.configuration import records
from nutmegworks.configuration import rejection
from nutmegworks.configuration import repository
from nutmegworks.configuration import snapshot_decoding
from tests.configuration import memorystore


async def no_pause(seconds: float) -> None:
    pass


def make(backend: store.Store, seed: int = 1) -> repository.Repository:
    return repository.Repository(
        backend, rng=random.Random(seed), pause=no_pause
    )


def put_team(name: str, change_id: str = '') -> change.Change:
    operation = change.PutTeam(name, document.TeamEntry())
    return change.Change(change_id or name, 'eva', 0, (operation, ))


def set_guarantee(team: str, domain: str, author: str) -> change.Change:
    operation = change.SetGuarantee(team, domain, ('1x8', ))
    return change.Change(f'{author}-{domain}', author, 0, (operation, ))


def test_lost_answer_is_resolved_by_change_id() -> None:
    """Guards against a change that applies twice after a lost answer."""

    async def main() -> None:
        backend = memorystore.MemoryStore()
        backend.lose_answers = 1
        first = await make(backend).accept(put_team('north'), base=0)
        assert first.ok_value.sequence == 1
        retried = await make(backend).accept(put_team('north'), base=1)
        assert retried.ok_value.sequence == 1
        backend.drop_writes = 10**6
        lost = await make(backend).accept(put_team('x'), base=0, timeout=0.0)
        assert lost.err_value.kind is rejection.RejectionKind.UNKNOWN

    curio.run(main)


def test_change_that_may_be_accepted_is_not_refused() -> None:
    """A check that fails later must not hide a write of unknown outcome.

    The guarantees depend on the workers, which may change in between.
    """

    async def main() -> None:
        backend = memorystore.MemoryStore()
        backend.drop_writes = 1
        faults = iter([()])
        repeated = repository.Repository(
            backend,
            rng=random.Random(1),
            guarantee_check=lambda _: next(faults, ('no room', )),
            clock=itertools.count(0.0, 0.4).__next__,
            pause=no_pause,
        )
        lost = await repeated.accept(put_team('x'), base=0, timeout=1.0)
        assert lost.err_value.kind is rejection.RejectionKind.UNKNOWN
        await make(backend).accept(put_team('north'), base=0)
        refused = await repeated.accept(put_team('x'), base=1, timeout=1.0)
        assert refused.err_value.kind is rejection.RejectionKind.INVALID

    curio.run(main)


def test_concurrent_changes_of_operators() -> None:
    """Guards against lost updates of operators who change the same team.

    Disjoint changes both apply; a conflict states who changed which entry.
    """

    async def main() -> None:
        backend = memorystore.MemoryStore()
        ada, bo = make(backend), make(backend, 2)
        await ada.accept(put_team('north'), base=0)
        rival_outcomes: list[typing.Any] = []

        async def change_west() -> None:
            own_change = set_guarantee('north', 'west', 'bo')
            rival_outcomes.append(await bo.accept(own_change, base=1))

        backend.before_put = [change_west]
        own_change = set_guarantee('north', 'east', 'ada')
        assert (await ada.accept(own_change, base=1)).ok_value.sequence == 3
        assert rival_outcomes[0].ok_value.sequence == 2
        late = set_guarantee('north', 'west', 'cy')
        refused = (await make(backend).accept(late, base=1)).err_value
        assert refused.kind is rejection.RejectionKind.CONFLICT
        assert refused.faults == (
            "team/north/guarantee/west was changed by 'bo' in change 2",
        )
        replaced = (
            await make(backend).accept(put_team('north', 'w'), base=1)
        ).err_value
        assert len(replaced.faults) == 2
        state = (await make(backend).load()).ok_value
        assert set(state.document.teams['north'].guarantees
                   ) == {'east', 'west'}

    curio.run(main)


def test_long_history_is_complete_and_the_head_is_short() -> None:
    """Guards against changes that are lost when writes of an archive fail."""

    async def main() -> None:
        backend = memorystore.MemoryStore()
        writer = make(backend)
        rng = random.Random(5)
        for number in range(230):
            backend.lose_answers = rng.randrange(3) // 2
            backend.drop_writes = rng.randrange(3) // 2
            own_change = put_team(f't{number}')
            accepted = await writer.accept(own_change, base=number)
            assert accepted.ok_value.sequence == number + 1
        fresh = make(backend)
        state = (await fresh.load()).ok_value
        assert len(state.document.teams) == 230
        assert 64 <= len(state.head.changes) <= 96
        assert len(backend.keys(records.SNAPSHOT_PREFIX)) <= 4
        history = (await fresh.history(after=0)).ok_value
        assert [item.sequence for item in history] == list(range(1, 231))
        assert reader.replay(document.EMPTY, history) == state.document
        assert (await fresh.history(after=40)).ok_value == history[40:]
        stale = put_team('t3', 'late')
        refused = await fresh.accept(stale, base=2)
        assert refused.err_value.kind is rejection.RejectionKind.CONFLICT

    curio.run(main)


def large_document() -> document.Document:
    rng = random.Random(3)
    domains = [f'failure-domain-{index}' for index in range(6)]
    teams = {
        f'team-{index:04d}-of-balqa':
        document.TeamEntry(
            token_digests=tuple(
                f'{rng.getrandbits(256):064x}'
                for _ in range(3)
            ),
            guarantees={
                domain: (f'{rng.randrange(1, 9)}x8', '1x4')
                for domain in domains
            },
        )
        for index in range(1100)
    }
    classes = {
        f'class-{index}':
        document.ClassEntry(
            service='s',
            target=30.0,
            guaranteed_share=0.01,
            teams=tuple(teams)
        )
        for index in range(40)
    }
    return document.Document(classes=classes, teams=teams)


def test_document_of_expected_size_fits_the_store() -> None:
    """Guards against a document that exceeds the store's limit.

    The size is the one expected after two years. If the store rejected the
    document, no change could be accepted any more.
    """
    large = large_document()
    snapshot = records.Snapshot(typing.cast(typing.Any, 1), large)
    encoded = document.encode(snapshot)
    assert len(encoded) < 512 * 1024
    assert snapshot_decoding.decode_snapshot(encoded) == snapshot
    assert rejection.size_faults(large) == ()
    digests = tuple(
        f'{random.Random(n).getrandbits(256):064x}' for n in range(40000)
    )
    teams = {'t': document.TeamEntry(token_digests=digests)}
    assert rejection.size_faults(document.Document(teams=teams))


def test_edited_document_yields_minimal_operations() -> None:
    """Guards against an edit that overwrites entries it did not change."""
    old = large_document()
    team = 'team-0003-of-balqa'
    entry = document.TeamEntry(
        token_digests=old.teams[team].token_digests[1:],
        guarantees={'failure-domain-0': ('1x1', )},
    )
    classes = {'class-1': old.classes['class-1']}
    new = document.Document(
        classes=classes,
        teams={
            **old.teams, team: entry
        },
    )
    operations = difference.between(old, new)
    own_change = change.Change('1', 'eva', 0, operations)
    assert change.apply(old, own_change) == new
    assert not any(isinstance(item, change.PutTeam) for item in operations)


def test_adoption_rejects_what_is_not_newer() -> None:
    """Guards against offers that are late, repeated or with gaps."""
    changes = [put_team(f't{n}') for n in range(1, 5)]
    changes.append(set_guarantee('t1', 'east', 'eva'))
    accepted = tuple(
        change.AcceptedChange(typing.cast(typing.Any, n), item)
        for n, item in enumerate(changes, 1)
    )
    action, current = adoption.adopt_changes(None, accepted[:3])
    assert action is adoption.Action.ADOPT and current is not None
    for offer in (accepted[:3], accepted[1:2], ()):
        action, unchanged = adoption.adopt_changes(current, offer)
        assert action is adoption.Action.IGNORE and unchanged is current
    action, unchanged = adoption.adopt_changes(current, accepted[4:])
    assert action is adoption.Action.NEED_OLDER and unchanged is current
    snapshot = records.Snapshot(current.sequence, document.EMPTY)
    action, unchanged = adoption.adopt_snapshot(current, snapshot)
    assert action is adoption.Action.IGNORE and unchanged is current
    action, last = adoption.adopt_changes(current, accepted[1:])
    assert action is adoption.Action.ADOPT and last is not None
    assert last.configuration == document.to_configuration(
        reader.replay(document.EMPTY, accepted), accepted[-1].sequence
    )
    assert last.changes_after(3) == accepted[3:]
