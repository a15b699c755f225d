"""Membership of the mesh: relay discovery, member tables and control links.

Uses `store` and `links`; only `claims` and `node` import it.
"""
