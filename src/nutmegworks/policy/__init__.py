"""Scheduling decisions of one failure domain: events in, actions out.

The package holds the scheduling logic of both daemons; neither set of modules
does any I/O.

Gang scheduling, for ``nutmegd`` (:mod:`nutmegworks.daemon.main`), which starts
all members of a multi-accelerator job at once under team guarantees:

* decisions: gang_scheduler, gang_starts, gang_placement, gang_reclaim,
  reserve, queue, admission, lifecycle, job, interfaces, events
* queue orders that neither daemon uses: order
* accelerators and guarantees: cluster, capacity, occupancy, ledger,
  guarantee_check, embedding, bitmask
* workers and run times: quarantine, failure_attribution, run_time_estimate,
  run_time_learning

Task scheduling, for the platform daemon (:mod:`nutmegworks.daemon.fleet`),
which assigns the tasks of job steps to workers: task_demand, task_durations,
task_placement, task_planning, task_preemption, reservation_terms, crash_limit,
worker_exclusion, worker_health, worker_speeds.
"""
