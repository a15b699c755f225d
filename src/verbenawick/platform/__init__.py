"""Wire format of the users' platform: names, formats and calls.

Translates between the platform's HTTP interfaces and the types of `verbenawick.mesh`
without making any decisions. Only the daemon of this package starts a node with it.
"""
