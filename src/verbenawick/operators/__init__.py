"""Command line, and the story of a request from log files.

The top of the own interface; nothing imports it.
"""
