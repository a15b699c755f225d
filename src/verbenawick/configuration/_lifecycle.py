"""Lifecycle state machine of a node, defined in charts/lifecycle.yaml."""

from dataclasses import dataclass
from enum import StrEnum
from importlib.resources import files

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from verbenawick.runtime._events import Event, emit, register_event


class LifecycleState(StrEnum):
    """States of the chart, except the root state."""

    STARTING = "starting"
    CATCHING_UP = "catching_up"
    SERVING = "serving"
    DRAINING = "draining"


@register_event(357)
@dataclass(frozen=True, slots=True)
class LifecycleChanged(Event):
    """The lifecycle state of the node changed."""

    state: str
    previous_state: str


class Lifecycle:
    """Lifecycle of this node; the chart defines the allowed transitions."""

    def __init__(self):
        text = files("verbenawick").joinpath("charts/lifecycle.yaml").read_text("utf-8")
        self._interpreter = Interpreter(import_from_yaml(text))
        self._interpreter.execute()
        self.state = self._read_state()

    @property
    def is_serving(self) -> bool:
        """Whether new calls are accepted."""
        return self.state is LifecycleState.SERVING

    def confirm_floor(self) -> None:
        """Signal that the floor is known."""
        self._send("floor_confirmed")

    def enter_service(self) -> None:
        """Signal that a version at or above the floor is in force."""
        self._send("version_in_force")

    def drain(self) -> None:
        """Stop accepting calls; this cannot be undone."""
        self._send("drain")

    def _send(self, event: str) -> None:
        self._interpreter.queue(event).execute()
        previous, self.state = self.state, self._read_state()
        if previous is not self.state:
            emit(LifecycleChanged(self.state, previous))

    def _read_state(self) -> LifecycleState:
        (name,) = set(self._interpreter.configuration) - {"root"}
        return LifecycleState(name)
