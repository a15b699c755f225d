"""Calls, membership and configuration of a node whose platform keeps the state.

Owns every decision of such a node: routing, placing, queueing, refusing, retrying and
what it believes about the other nodes. `verbenawick.platform` translates the
platform's wire format into the types of `verbenawick.mesh._model` and imports from
here; nothing in this package imports from `verbenawick.platform`.
"""
