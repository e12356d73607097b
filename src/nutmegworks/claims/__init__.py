"""At-most-once execution of requests through claims of idempotency keys."""
