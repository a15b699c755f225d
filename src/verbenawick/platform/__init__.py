"""Wire format of the users' platform: names, formats and calls.

Translates between the platform's HTTP interfaces and the types of `verbenawick.mesh`;
decides nothing. Only the daemon of this package starts a node from it.
"""
