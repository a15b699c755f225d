"""Calls, membership and configuration of a node backed by a platform store.

Implements routing, placement, queueing, load shedding, retries and the local view of
the other nodes. `verbenawick.platform` converts between the platform's wire format and
the types of `verbenawick.mesh._model`. It imports from this package, never the other
way round.
"""
