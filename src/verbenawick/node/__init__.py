"""A node of the own interface, built from the other packages, and its daemon.

Only `operators` imports it.
"""
