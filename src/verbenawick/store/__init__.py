"""Client of the object API of the project's own interface, and leases in the store.

Depends on `links`, `runtime` and `settings`; does not interpret other stored objects.
"""
