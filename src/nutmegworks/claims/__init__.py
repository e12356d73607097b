"""At-most-once claims of requests that must not run twice."""
