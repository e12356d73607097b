"""The processes of the scheduler and their composition roots.

``main`` is the command line of ``nutmegd``, the stand-alone daemon; ``serve``
runs it and ``compose`` wires it. ``fleet`` runs the daemon on the users'
platform and ``fleetnode`` wires it. Both daemons use ``deferred_imports``; the
other modules belong to ``nutmegd``.
"""
