"""Decisions on who gets a slot or a place in a queue where room is short."""
