"""A short soak with documents of another writer in the store."""
from __future__ import annotations

import pathlib

import curio
import msgspec

from tests.fleet import builders
from tests.fleet import test_odd_control
from tests.fleet import test_odd_entries
from tests.fleet import test_odd_records
from tests import odd_documents
from tests.soak import run

SEED = 32
RUN_SECONDS = 6.0
PAUSE_SECONDS = 0.2


def _odd_items() -> dict[str, bytes]:
    """Return odd documents by key; two take the place of workers' own."""
    items = {}
    for number, data in enumerate(test_odd_entries.ODD_ENTRIES.values()):
        items[f'servers/odd{number}'] = data
    for number, data in enumerate(test_odd_records.odd_job_records().values()):
        items[f'nutmeg/jobs/{number:016x}'] = data
    for number, data in enumerate(
            test_odd_records.odd_progress_records().values()):
        items[f'nutmeg/progress/{number:016x}'] = data
    for number, data in enumerate(test_odd_control.odd_members().values()):
        items[f'nutmeg/control/members/odd{number}'] = data
    items['op/other'] = odd_documents.NESTED
    items['servers/w0'] = test_odd_entries.ODD_ENTRIES['nested']
    items['servers/w1'] = msgspec.json.encode(
        builders.worker_document(address='10.0.0.1:99999')
    )
    return items


class _SoakWithOddItems(run.Soak):
    """Writes the odd documents one after the other, in place of faults."""

    async def _inject_faults(self) -> None:
        for key, data in _odd_items().items():
            self._store.store.put(key, data)
            await curio.sleep(PAUSE_SECONDS)
        # Each daemon and each term reads all of them from the start.
        daemon = self._choose_daemon()
        daemon.send_signal(run.signal.SIGTERM)
        await curio.sleep(RUN_SECONDS)

    @property
    def exit_codes(self) -> list[int]:
        return [code for daemon in self._daemons for code in daemon.exit_codes]


def test_odd_documents_end_no_process_and_lose_no_job(
    tmp_path: pathlib.Path
) -> None:
    """Guards against a reader of the store that the unit tests omit."""
    soak = _SoakWithOddItems(run.Plan(SEED, RUN_SECONDS), tmp_path)
    curio.run(soak.run)
    assert soak.checker.violations == []
    assert soak.checker.start_count > 10
    # That of the stop.
    assert soak.exit_codes == [0]
