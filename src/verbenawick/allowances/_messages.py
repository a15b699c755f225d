"""Messages between the nodes and the owners of allowances."""

from dataclasses import dataclass, field

from verbenawick.links._messages import Message, register_message


@register_message(110)
@dataclass(frozen=True, slots=True)
class AllowanceAsk(Message):
    """Delegation of the sender's shares of a group, and what it needs from the group.

    Attributes
    ----------
    epoch : int
        Process of the owner that the delegation is for; 0 without a delegation.
    node_count : int
        The sender delegates one share of `node_count` of each workspace.
    delegated_until : float
        End of the delegation on the clock of the owner.
    waiting_by_name, expected_by_name : dict of str to int
        Requests that wait for a grant, and further ones expected during `AHEAD_S`.
    """

    call_id: int
    group: int
    epoch: int = 0
    node_count: int = 0
    delegated_until: float = 0.0
    waiting_by_name: dict[str, int] = field(default_factory=dict)
    expected_by_name: dict[str, int] = field(default_factory=dict)


@register_message(111)
@dataclass(frozen=True, slots=True)
class AllowanceAnswer(Message):
    """Grants of an owner.

    Attributes
    ----------
    epoch : int
        Process of the owner; 0 if it grants nothing: it stops, or has no version yet.
    clock : float
        Time at the owner.
    fraction : float
        Sum of the shares that nodes have delegated to the owner, at most 1.
    granted_by_name, ahead_by_name : dict of str to int
        Requests that may be admitted within `GRANT_S`, and further ones that may be
        within `AHEAD_S` of the ask.
    refusals_by_name : dict of str to tuple of float
        For each workspace with fewer grants than requests that wait: the time until the
        next request would pass, and the interval between such requests of the node.
    """

    call_id: int
    epoch: int = 0
    clock: float = 0.0
    fraction: float = 0.0
    granted_by_name: dict[str, int] = field(default_factory=dict)
    ahead_by_name: dict[str, int] = field(default_factory=dict)
    refusals_by_name: dict[str, tuple[float, float]] = field(default_factory=dict)


@register_message(112)
@dataclass(frozen=True, slots=True)
class AllowanceRelease(Message):
    """The sender grants nothing more; delegations to its process have ended."""

    epoch: int
