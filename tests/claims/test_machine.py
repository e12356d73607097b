"""Random sequences of claims, faults and pauses on real batchers."""
from __future__ import annotations

import curio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from nutmegworks.claims import batcher
from nutmegworks.claims import key
from nutmegworks.claims import record
from tests.claims import operations
from tests import memory_store

DAEMONS = 2
KEYS = strategies.integers(0, 2)
DAEMON = strategies.integers(0, DAEMONS - 1)
FAULTS = strategies.lists(
    strategies.sampled_from(memory_store.Fault), max_size=3
)
OUTCOMES = strategies.sampled_from(
    (
        record.State.DID_NOT_RUN,
        record.State.RAN,
        record.State.MAY_HAVE_RUN,
    )
)


class Claims(stateful.RuleBasedStateMachine):
    """Two daemons claim three keys; granted attempts run at any later time.

    A key must run at most once whatever the order of claims, outcomes, lost or
    delayed writes, lagging reads and reused slots.

    :ivar granted: key, id and epoch of attempts that hold a key and have not
        run.
    :ivar refused: the same of attempts that were not granted; each may be
        released.
    """

    def __init__(self) -> None:
        super().__init__()
        self.kernel = curio.Kernel()
        self.backing = memory_store.MemoryStore()
        self.epoch = operations.EPOCH
        self.batchers = [
            batcher.Batcher(
                self.backing, 0, write_interval=0.0, finish_delay=0.0
            ) for _ in range(DAEMONS)
        ]
        self.kernel.run(self.start)
        self.attempts = 0
        self.granted: list[tuple[int, str, int]] = []
        self.refused: list[tuple[int, str, int]] = []
        self.runs_by_key: dict[tuple[int, int], int] = {}
        self.highest_epoch = 0

    async def start(self) -> None:
        for item in self.batchers:
            await curio.spawn(item.run, daemon=True)

    @stateful.rule(daemon=DAEMON, number=KEYS, faults=FAULTS, slot_age=DAEMON)
    def claim(self, daemon, number, faults, slot_age) -> None:
        self.attempts += 1
        attempt_id = str(self.attempts)
        epoch = max(operations.EPOCH, self.epoch - slot_age * key.EPOCH_SLOTS)
        operation = operations.claim_operation(
            attempt_id, epoch, number, attempt_number=self.attempts
        )
        reply = self.submit(daemon, operation, faults)
        if reply.status is record.Status.GRANTED:
            self.granted.append((number, attempt_id, epoch))
        else:
            self.refused.append((number, attempt_id, epoch))

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(
        data=strategies.data(),
        daemon=DAEMON,
        outcome=OUTCOMES,
        faults=FAULTS,
    )
    def run_and_finish(self, data, daemon, outcome, faults) -> None:
        index = data.draw(strategies.integers(0, len(self.granted) - 1))
        number, attempt_id, epoch = self.granted.pop(index)
        if outcome is not record.State.DID_NOT_RUN:
            name = (number, epoch)
            self.runs_by_key[name] = self.runs_by_key.get(name, 0) + 1
        operation = record.FinishOperation(
            epoch, 0, number.to_bytes(16, 'big'), attempt_id, outcome
        )
        self.submit(daemon, operation, faults)

    @stateful.precondition(lambda self: self.refused)
    @stateful.rule(daemon=DAEMON)
    def release(self, daemon) -> None:
        number, attempt_id, epoch = self.refused.pop()
        operation = record.FinishOperation(
            epoch,
            0,
            number.to_bytes(16, 'big'),
            attempt_id,
            record.State.DID_NOT_RUN,
        )
        self.submit(daemon, operation, [])

    @stateful.rule()
    def deliver_delayed_writes(self) -> None:
        self.backing.deliver()

    @stateful.rule()
    def lagging_read(self) -> None:
        entry = self.entry()
        if entry is not None:
            self.backing.stale_by_key[entry.key] = entry

    @stateful.rule()
    def hour_passes(self) -> None:
        self.epoch += key.EPOCH_SLOTS

    @stateful.invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert all(runs <= 1 for runs in self.runs_by_key.values())

    @stateful.invariant()
    def epoch_never_decreases(self) -> None:
        entry = self.entry()
        if entry is not None:
            epoch = record.decode(entry.value).epoch
            assert epoch >= self.highest_epoch
            self.highest_epoch = epoch

    def entry(self):
        slot = operations.EPOCH % key.EPOCH_SLOTS
        return self.backing.peek(key.record_key(0, slot))

    def submit(self, daemon, operation, faults) -> record.Reply:
        self.backing.faults.extend(faults)
        item = self.batchers[daemon]
        reply = self.kernel.run(self.bounded_submit, item, operation)
        self.backing.faults.clear()
        self.backing.down = False
        return reply

    async def bounded_submit(self, item, operation) -> record.Reply:
        return await item.submit(operation, timeout=5.0)

    def teardown(self) -> None:
        self.kernel.run(shutdown=True)


Claims.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=25,
)
test_machine = Claims.TestCase
