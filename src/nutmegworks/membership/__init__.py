"""Cluster membership, failure detection and shard ownership."""
