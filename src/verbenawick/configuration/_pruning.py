"""Removal of old snapshots and changes and of the objects of killed commands."""

from collections.abc import Iterator

from verbenawick.configuration._config_store import ConfigStore
from verbenawick.configuration._head import (
    CHANGE_PREFIX,
    Change,
    change_key,
    decode_change,
    snapshot_key,
)

KEPT_SNAPSHOTS = 50
KEPT_CHANGES = 500
PRUNING_INTERVAL = 10
# A command gives its change up after this time.
CHANGE_LIMIT_S = 300.0
# Older objects that were not accepted belong to a killed command. Twice the limit
# leaves room for the drift between the clocks of the operator and the store.
ORPHAN_AGE_S = 2 * CHANGE_LIMIT_S


def prune(config: ConfigStore) -> int:
    """Remove what is no longer needed; return the number of removed changes.

    Snapshots of the two intervals before the kept ones are tried, so that one missed
    pruning leaves nothing; what is missed twice goes with its change.

    The head is confirmed before anything is removed: an update by a command that was
    paused cannot take effect afterwards, and the list of accepted changes is current.

    Raises
    ------
    StoreUnavailableError, StoreAnswerLostError, StoreConditionError
        A later pruning continues.
    """
    state = config.read_head()
    changes_by_id, ages_by_id = _read_changes(config)
    accepted = list(_follow(changes_by_id, state.change_id))
    if len(accepted) < min(KEPT_CHANGES, state.version):
        # The list was stale: changes that are in force seem to be orphans.
        return 0
    kept_ids = {change.change_id for change in accepted[:KEPT_CHANGES]}
    removable = [
        change_id
        for change_id in changes_by_id
        if change_id not in kept_ids and ages_by_id[change_id] > ORPHAN_AGE_S
    ]
    old = accepted[KEPT_SNAPSHOTS : KEPT_SNAPSHOTS + 2 * PRUNING_INTERVAL]
    if removable or old:
        config.confirm_head(state)
    for change in old:
        config.remove(snapshot_key(change.change_id))
    for change_id in removable:
        # The snapshot goes first, so that none is left without its change.
        config.remove(snapshot_key(change_id))
        config.remove(change_key(change_id))
    return len(removable)


def _read_changes(config: ConfigStore) -> tuple[dict[str, Change], dict[str, float]]:
    objects = config.client.list(CHANGE_PREFIX).objects
    changes = [(decode_change(obj.value), obj.age_s) for obj in objects]
    changes_by_id = {change.change_id: change for change, _ in changes}
    ages_by_id = {change.change_id: age_s for change, age_s in changes}
    return changes_by_id, ages_by_id


def _follow(changes_by_id: dict[str, Change], change_id: str) -> Iterator[Change]:
    while change_id in changes_by_id:
        change = changes_by_id[change_id]
        yield change
        change_id = change.parent_id
