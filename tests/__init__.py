"""Tests; the modules mirror those of the package."""
