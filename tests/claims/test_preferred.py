from __future__ import annotations

from nutmegworks.claims import preferred


def test_one_leaving_member_moves_only_its_shards() -> None:
    """A restart must not make every shard change its writer."""
    members = [f'daemon-{number}' for number in range(8)]
    shards = range(800)
    before = [preferred.preferred(shard, members) for shard in shards]
    after = [preferred.preferred(shard, members[1:]) for shard in shards]
    for old, new in zip(before, after):
        assert old == new or old == members[0]
    assert all(60 <= before.count(member) <= 150 for member in members)
    assert preferred.preferred(0, []) is None
