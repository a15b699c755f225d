"""What every process needs: clock, log events, metrics, sockets, exit codes.

Uses `verbenawick.settings`; every other package may import it.
"""
