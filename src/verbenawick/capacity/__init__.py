"""Capacity: how many calls an upstream takes well, and how long they take there."""
