"""Stand-ins for the systems around the daemons, and fault runs with them.

The stand-ins are the store, the host list, upstreams, workers and a relay.
"""
