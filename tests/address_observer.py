"""Fake of the evidence about the process at the address of an upstream."""

from dataclasses import dataclass


@dataclass
class FakeAddressObserver:
    """Observer whose answers a test sets.

    Attributes
    ----------
    healthy_id : str or None
        Id under which the process answers a health probe, empty if it drains, leaves or
        has ended; None if it answers under each id that is asked for.
    is_running : bool
        Whether the process that is watched is known to run.
    """

    healthy_id: str | None = None
    is_running: bool = False

    def is_healthy(self, upstream_id: str, service: str) -> bool:
        """Return whether the process is healthy and has the id."""
        return self.healthy_id is None or self.healthy_id == upstream_id

    def watch_process(self) -> None:
        """Ignore; `is_running` tells what a watch would find."""

    def is_watched_process_running(self) -> bool:
        """Return what the test set."""
        return self.is_running

    def stop_watching(self) -> None:
        """Ignore."""
