"""Node of the project's own interface, built from the other packages, and its daemon.

Imported by `operators` only.
"""
