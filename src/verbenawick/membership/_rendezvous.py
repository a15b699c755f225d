"""Rendezvous hashing of idempotency keys over the members of a service."""

from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

from verbenawick.links._members import DepartedMember, Member, MemberState


def score_of(key: str, node_id: str) -> int:
    """Return the rendezvous score of a node for a key; the highest owns the key.

    The incarnation does not count, so a restarted node owns the same keys.
    """
    return xxh3_64_intdigest(f"{node_id}\0{key}".encode())


def home_region_of(key: str) -> str:
    """Return the part of `key` before its first slash, or an empty string."""
    region, slash, _ = key.partition("/")
    return region if slash else ""


def find_owner(
    key: str,
    members: tuple[Member, ...],
    *,
    without: frozenset[str] | set[str] = frozenset(),
) -> Member | None:
    """Return the active member that owns `key`.

    Members of the key's home region come first; the others follow only when that
    region has none. A prefix that names no region of the service has no effect.

    Parameters
    ----------
    without : set of str
        Node ids that are passed over.
    """
    home = home_region_of(key)
    return max(
        (
            member
            for member in members
            if member.state is MemberState.ACTIVE and member.node_id not in without
        ),
        key=lambda m: (m.region == home, score_of(key, m.node_id)),
        default=None,
    )


def possible_earlier_owners(
    key: str,
    members: tuple[Member, ...],
    departed: tuple[DepartedMember, ...],
) -> Iterator[Member | DepartedMember]:
    """Yield who may have claimed `key` within the horizon, in rendezvous order.

    The first active member that did not join recently ends the list: it was there for
    the whole horizon, so nobody after it owned the key. A draining member does not end
    it, since those after it own keys from the start of the drain. A process that
    departed and is a member again kept its records and counts as a member.
    """
    home = home_region_of(key)
    present = {(member.node_id, member.incarnation) for member in members}
    gone = [d for d in departed if (d.node_id, d.incarnation) not in present]
    ranked = sorted(
        (*gone, *members),  # at equal score, a departed process comes first
        key=lambda m: (m.region == home, score_of(key, m.node_id)),
        reverse=True,
    )
    for candidate in ranked:
        yield candidate
        if (
            isinstance(candidate, Member)
            and candidate.state is MemberState.ACTIVE
            and not candidate.recently_joined
        ):
            return
