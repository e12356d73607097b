"""Stand-ins for the platform: store, host list, upstreams, workers."""
