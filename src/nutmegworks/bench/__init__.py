"""Load generator and experiments with both daemons.

A running nutmegd: arrivals, load, report (``nutmeg bench``).
Parts of nutmegd in one process:
    gang scheduling: simulation, streams, policy, decision
    configuration and membership: nodes, cluster, traffic, propagation
    routing to upstreams: routing
    claims of idempotency keys: claims
The platform daemon (nutmegworks.daemon.fleet): fleetmodel, fleetexperiment.
"""
