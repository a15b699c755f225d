"""Settings of a node of the project's own interface, and code for all settings files.

Imports only `verbenawick.errors`; all other packages may import it.
"""
