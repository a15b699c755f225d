"""Allowances: how many requests a workspace may send, kept by all nodes together."""
