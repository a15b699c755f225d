"""Command line interface, including the timeline of a request from log files.

Top layer of the package; only `verbenawick.__main__` imports it.
"""
