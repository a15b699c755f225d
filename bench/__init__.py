"""Benchmarks. The last line that each prints is a JSON object with its results."""

from warnings import filterwarnings

# eventlet warns of its deprecation when imported. The project's rules require it.
filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
