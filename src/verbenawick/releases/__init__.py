"""Releases: moving the calls of a service to another version of its upstreams."""
