"""Who is in the mesh: relays, member tables, and which links a node keeps.

Uses `store` and `links`; `claims` and `node` import it.
"""
