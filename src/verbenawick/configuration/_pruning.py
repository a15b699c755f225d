"""Removal of old snapshots and changes, and of orphaned objects of killed commands."""

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
# Number of versions between two pruning runs.
PRUNING_INTERVAL = 10
# A command abandons its change after this time.
MAX_CHANGE_DURATION_S = 300.0
# Unaccepted objects that are older belong to a killed command. Twice the maximum
# duration leaves a margin for drift between the clocks of the operator and the store.
MIN_ORPHAN_AGE_S = 2 * MAX_CHANGE_DURATION_S


def prune(config: ConfigStore) -> int:
    """Remove obsolete objects and return the number of removed changes.

    Besides orphans and old changes, the snapshots of two pruning intervals before the
    kept ones are removed, so that a single missed run leaves none behind. A snapshot
    missed by two runs is removed along with its change.

    The head is confirmed before anything is removed. This prevents an update by a
    paused command from taking effect later, and proves that the list of accepted
    changes is current.

    Raises
    ------
    StoreUnavailableError, StoreAnswerLostError, StoreConditionError
        Pruning is incomplete; a later run continues it.
    """
    state = config.read_head()
    changes_by_id, ages_by_id = _read_changes(config)
    accepted = list(_accepted_chain(changes_by_id, state.change_id))
    if len(accepted) < min(KEPT_CHANGES, state.version):
        # The list is stale, so accepted changes would be mistaken for orphans.
        return 0
    kept_ids = {change.change_id for change in accepted[:KEPT_CHANGES]}
    removable_ids = [
        change_id
        for change_id in changes_by_id
        if change_id not in kept_ids and ages_by_id[change_id] > MIN_ORPHAN_AGE_S
    ]
    old_changes = accepted[KEPT_SNAPSHOTS : KEPT_SNAPSHOTS + 2 * PRUNING_INTERVAL]
    if removable_ids or old_changes:
        config.confirm_head(state)
    for change in old_changes:
        config.remove(snapshot_key(change.change_id))
    for change_id in removable_ids:
        # Remove the snapshot first, since it is only found through its change.
        config.remove(snapshot_key(change_id))
        config.remove(change_key(change_id))
    return len(removable_ids)


def _read_changes(config: ConfigStore) -> tuple[dict[str, Change], dict[str, float]]:
    objects = config.client.list(CHANGE_PREFIX).objects
    changes = [(decode_change(obj.value), obj.age_s) for obj in objects]
    changes_by_id = {change.change_id: change for change, _ in changes}
    ages_by_id = {change.change_id: age_s for change, age_s in changes}
    return changes_by_id, ages_by_id


def _accepted_chain(
    changes_by_id: dict[str, Change], change_id: str
) -> Iterator[Change]:
    while change_id in changes_by_id:
        change = changes_by_id[change_id]
        yield change
        change_id = change.parent_id
