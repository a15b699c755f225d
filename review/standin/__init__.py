"""Stand-ins for the review's scripts: store, backends, requesters and node processes.

Only the standard library is used.
"""
