"""Facilities of every process: clock, log events, metrics, sockets, exit codes.

Imports only `verbenawick.settings` and `verbenawick.errors`; all packages above may
import it.
"""
