"""Accepted configuration: documents, acceptance, distribution, status.

Uses `calls` for the routing table, and `store`; `node` and `operators` import it.
"""
