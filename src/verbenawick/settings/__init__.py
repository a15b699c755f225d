"""Settings of a node of the own interface, and what all settings files share.

Uses only `verbenawick.errors`; every package may import it.
"""
