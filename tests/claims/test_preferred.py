from __future__ import annotations

from nutmegworks.claims import preferred


def test_removed_member_moves_only_its_shards() -> None:
    """A restart of one daemon must not change the writer of all shards."""
    members = [f'daemon-{number}' for number in range(8)]
    shards = range(800)
    before = [preferred.choose(shard, members) for shard in shards]
    after = [preferred.choose(shard, members[1:]) for shard in shards]
    for old_writer, new_writer in zip(before, after):
        assert old_writer == new_writer or old_writer == members[0]
    assert all(60 <= before.count(member) <= 150 for member in members)
    assert preferred.choose(0, []) is None
