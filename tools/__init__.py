"""Commands that generate committed pages."""

from warnings import filterwarnings

# eventlet announces its deprecation on import; the project's rules choose it.
filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
