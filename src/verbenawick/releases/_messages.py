"""Messages between the leader of releases and the nodes."""

from dataclasses import dataclass

from verbenawick.links._messages import Message, register_message
from verbenawick.releases._model import ReleaseState


@register_message(120)
@dataclass(frozen=True, slots=True)
class ReleaseBeacon(Message):
    """State of a release, sent by the leader through the leaders of the regions.

    The fields are those of `ReleaseView`.
    """

    service: str
    target_version: str
    state: ReleaseState
    share: float
    is_final: bool
    revision: int
    ordered_at: int


@register_message(121)
@dataclass(frozen=True, slots=True)
class ReleaseReport(Message):
    """Outcomes of the calls at the sender's upstream, for the leader.

    Attributes
    ----------
    is_final : bool
        Whether the sender knew already that its upstream gets no further calls.
    routes : tuple
        Name, calls, failures and total seconds of each route since the release began.
    """

    call_id: int
    service: str
    target_version: str
    version: str
    in_progress: int
    is_final: bool
    routes: tuple[tuple[str, int, int, float], ...]


@register_message(122)
@dataclass(frozen=True, slots=True)
class ReleaseReceipt(Message):
    """Answer to a `ReleaseReport`."""

    call_id: int
