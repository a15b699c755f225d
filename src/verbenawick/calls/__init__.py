"""Call path of the project's own interface: entry, gateway, upstream.

Imports `links` and `runtime`; imported by `configuration`, `claims`, `mesh` and `node`.
"""
