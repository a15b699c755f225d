"""Client of the platform's object API of the own interface, and leases in it.

Uses `links` and `runtime`; decides nothing about what is stored.
"""
