"""The caller interface: a chain of filters, one module a filter."""
