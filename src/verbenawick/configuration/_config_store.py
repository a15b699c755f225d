"""Access to the configuration objects in the store: head, changes and snapshots."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import sleep as sleep_seconds

from verbenawick.configuration._delta import Content, decode_snapshot
from verbenawick.configuration._head import (
    HEAD_KEY,
    Change,
    Head,
    change_key,
    decode_change,
    decode_head,
    encode_record,
    snapshot_key,
)
from verbenawick.errors import StoreUnavailableError
from verbenawick.links._component import StoreObject
from verbenawick.store._store import StoreClient

# Reads may be stale, so an object that seems missing or outdated is read again.
MAX_READ_ATTEMPTS = 5
READ_RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class HeadState:
    """The head as read from the store.

    Attributes
    ----------
    head : Head or None
        None before the first acceptance.
    store_version : int
        Store version of the object `config/head`, 0 if it is absent.
    age_s : float
        Time since the object was last written, measured by the store's clock.
    """

    head: Head | None
    store_version: int
    age_s: float = 0.0

    @property
    def version(self) -> int:
        """Configuration version, 0 before the first acceptance."""
        return self.head.version if self.head else 0

    @property
    def change_id(self) -> str:
        """Id of the accepted change, empty before the first acceptance."""
        return self.head.change_id if self.head else ""


class ConfigStore:
    """Typed access to the configuration objects in the store.

    Parameters
    ----------
    client : StoreClient
    sleep : callable
        Waits for a number of seconds between two reads.
    """

    def __init__(
        self, client: StoreClient, *, sleep: Callable[[float], None] = sleep_seconds
    ):
        self.client = client
        self._sleep = sleep

    def read_head(self, *, min_store_version: int = 0) -> HeadState:
        """Return the head.

        Parameters
        ----------
        min_store_version : int
            Store version known to exist. An older head is stale and is read again.

        Raises
        ------
        StoreUnavailableError
            The store does not respond, or returns only stale values.
        """
        obj = self._read_fresh(HEAD_KEY, lambda obj: obj.version >= min_store_version)
        if not obj.version:
            return HeadState(None, 0)
        return HeadState(decode_head(obj.value), obj.version, obj.age_s)

    def confirm_head(self, state: HeadState) -> HeadState:
        """Write the head with unchanged content and return its new state.

        Success proves that `state` was not stale. It also makes all updates in flight
        fail, since they are conditional on the previous store version. An absent head
        is returned without any check.

        Raises
        ------
        StoreConditionError
            `state` is stale, or a concurrent update came first.
        StoreUnavailableError, StoreAnswerLostError
            It is unknown whether `state` is stale.
        """
        if state.head is None:
            return state
        value = encode_record(state.head)
        version = self.client.update(
            HEAD_KEY, value, expected_version=state.store_version
        )
        return HeadState(state.head, version)

    def read_change(self, change_id: str) -> Change | None:
        """Return a change, or None if it is absent."""
        obj = self._read_fresh(change_key(change_id), lambda obj: obj.version > 0)
        return decode_change(obj.value) if obj.version else None

    def read_content(self, change_id: str, digest: bytes) -> Content | None:
        """Return the document of a change, or None if its snapshot is absent."""
        obj = self._read_fresh(snapshot_key(change_id), lambda obj: obj.version > 0)
        return decode_snapshot(obj.value, digest) if obj.version else None

    def accepted_changes(self, state: HeadState) -> Iterator[Change]:
        """Yield the accepted changes that are still stored, newest first."""
        change_id = state.change_id
        while change_id:
            change = self.read_change(change_id)
            if change is None:
                return
            yield change
            change_id = change.parent_id

    def accepted_change(self, state: HeadState, version: int) -> Change | None:
        """Return the change accepted as `version`, or None if it is not stored."""
        for change in self.accepted_changes(state):
            if change.version <= version:
                return change if change.version == version else None
        return None

    def is_accepted(self, state: HeadState, change: Change) -> bool:
        """Return whether `state` is the version of a change or descends from it.

        Raises
        ------
        StoreUnavailableError
            The changes in between cannot be read.
        """
        if state.change_id == change.change_id:
            return True
        if state.version <= change.version:
            return False
        accepted = self.accepted_change(state, change.version)
        if accepted is None:
            raise StoreUnavailableError(
                f"the accepted changes back to version {change.version} cannot be read",
                step="config.read-changes",
                peer=self.client.address,
            )
        return accepted.change_id == change.change_id

    def remove(self, key: str) -> None:
        """Delete an object if it exists."""
        obj = self.client.get(key)
        if obj.version:
            self.client.delete(key, expected_version=obj.version)

    def _read_fresh(
        self, key: str, is_fresh: Callable[[StoreObject], bool]
    ) -> StoreObject:
        for attempt in range(MAX_READ_ATTEMPTS):
            if attempt:
                self._sleep(READ_RETRY_DELAY_S)
            obj = self.client.get(key)
            if is_fresh(obj):
                return obj
        if obj.version or key == HEAD_KEY:
            raise StoreUnavailableError(
                f"reads of {key} returned only stale values",
                step="config.read",
                peer=self.client.address,
            )
        return obj
