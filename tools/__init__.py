"""Commands that generate the documentation pages kept in the repository."""

from warnings import filterwarnings

# eventlet warns of its deprecation on import; the project requires eventlet.
filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
