"""Workspaces: the groups of callers that a configuration knows, and their keys."""
