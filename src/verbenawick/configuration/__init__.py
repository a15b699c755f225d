"""Accepted configuration: documents, acceptance, distribution and status.

Depends on `calls` (routing table) and `store`; `node` and `operators` depend on it.
"""
