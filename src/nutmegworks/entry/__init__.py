"""The HTTP interface of nutmegd for callers: endpoints and filters.

Synchronous requests pass a chain of filters, one module per filter.
"""
