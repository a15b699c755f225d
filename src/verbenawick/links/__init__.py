"""Links between nodes, the registry of their messages, and the ports of components.

Uses `runtime`; every package above it may import it.
"""
