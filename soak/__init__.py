"""Randomized fault soak: real node processes, faults from outside, checked promises."""
