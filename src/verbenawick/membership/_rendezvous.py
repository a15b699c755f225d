"""Assignment of idempotency keys to the members of a service by rendezvous hashing."""

from collections.abc import Iterator

from xxhash import xxh3_64_intdigest

from verbenawick.links._members import DepartedMember, Member, MemberState


def score_of(key: str, node_id: str) -> int:
    """Return the rendezvous score of a node for a key.

    The node with the highest score owns the key. The incarnation is not part of the
    hash, so that a restarted node owns the same keys.
    """
    return xxh3_64_intdigest(f"{node_id}\0{key}".encode())


def home_region_of(key: str) -> str:
    """Return the part of `key` before the first slash, or an empty string."""
    region, slash, _ = key.partition("/")
    return region if slash else ""


def find_owner(
    key: str,
    members: tuple[Member, ...],
    *,
    excluded_ids: frozenset[str] | set[str] = frozenset(),
) -> Member | None:
    """Return the active member that owns `key`.

    Members outside the key's home region are considered only if it has no active
    member. A prefix that is not the name of a region of the service has no effect.

    Parameters
    ----------
    excluded_ids : set of str
        Node ids of members that are not considered.
    """
    home = home_region_of(key)
    return max(
        (
            member
            for member in members
            if member.state is MemberState.ACTIVE and member.node_id not in excluded_ids
        ),
        key=lambda m: (m.region == home, score_of(key, m.node_id)),
        default=None,
    )


def possible_earlier_owners(
    key: str,
    members: tuple[Member, ...],
    departed: tuple[DepartedMember, ...],
) -> Iterator[Member | DepartedMember]:
    """Yield the processes that may have claimed `key` within the horizon.

    They are ordered by rendezvous score, up to the first active member that did not
    join recently: it was present for the whole horizon, so no process after it owned
    the key. A draining member does not end the list, since members after it own
    keys from the start of the drain. A process that departed and rejoined has kept its
    records and is treated as a member.
    """
    home = home_region_of(key)
    present = {(member.node_id, member.incarnation) for member in members}
    absent = [d for d in departed if (d.node_id, d.incarnation) not in present]
    ranked = sorted(
        (*absent, *members),  # departed processes come first among equal scores
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
