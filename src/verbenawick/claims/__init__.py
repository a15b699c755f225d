"""At-most-once execution of requests with an idempotency key.

Uses `calls` and `membership`; only `node` imports it.
"""
