"""The path of a call of the own interface: entry, gateway, upstream.

Uses `links` and `runtime`; `configuration`, `claims`, `mesh` and `node` import it.
"""
