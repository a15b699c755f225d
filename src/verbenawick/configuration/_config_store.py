"""Configuration objects in the store: head, changes and snapshots."""

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

# A read may be stale; a later one of an object that exists finds it.
READ_ATTEMPTS = 5
READ_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class HeadState:
    """Head as read, with its version in the store.

    Attributes
    ----------
    head : Head or None
        None before the first acceptance.
    store_version : int
        Version of the object `config/head`, 0 when it is absent.
    age_s : float
        Time since it was written, by the store's clock.
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
    """Typed access to the configuration objects.

    Parameters
    ----------
    client : StoreClient
    sleep : callable
        Waits between attempts, in seconds.
    """

    def __init__(
        self, client: StoreClient, *, sleep: Callable[[float], None] = sleep_seconds
    ):
        self.client = client
        self._sleep = sleep

    def read_head(self, *, at_least: int = 0) -> HeadState:
        """Return the head.

        Parameters
        ----------
        at_least : int
            Store version known to exist; an older answer is stale and read again.

        Raises
        ------
        StoreUnavailableError
            The store does not answer, or only with stale values.
        """
        obj = self._read(HEAD_KEY, lambda obj: obj.version >= at_least)
        if not obj.version:
            return HeadState(None, 0)
        return HeadState(decode_head(obj.value), obj.version, obj.age_s)

    def confirm_head(self, state: HeadState) -> HeadState:
        """Write the head with unchanged content and return its new state.

        Success proves that `state` is not stale, and makes every update that is still
        on its way to the store fail, since head has another store version then.

        Raises
        ------
        StoreConditionError
            `state` is stale or another update was faster.
        StoreUnavailableError, StoreAnswerLostError
            Nothing is known.
        """
        if state.head is None:
            return state
        value = encode_record(state.head)
        version = self.client.update(
            HEAD_KEY, value, expected_version=state.store_version
        )
        return HeadState(state.head, version)

    def read_change(self, change_id: str) -> Change | None:
        """Return a change, None when it is absent."""
        obj = self._read(change_key(change_id), lambda obj: obj.version > 0)
        return decode_change(obj.value) if obj.version else None

    def read_content(self, change_id: str, digest: bytes) -> Content | None:
        """Return the document of a change, None when its snapshot is absent."""
        obj = self._read(snapshot_key(change_id), lambda obj: obj.version > 0)
        return decode_snapshot(obj.value, digest) if obj.version else None

    def accepted_changes(self, state: HeadState) -> Iterator[Change]:
        """Yield the accepted changes that are kept, from the newest on."""
        change_id = state.change_id
        while change_id:
            change = self.read_change(change_id)
            if change is None:
                return
            yield change
            change_id = change.parent_id

    def accepted_change(self, state: HeadState, version: int) -> Change | None:
        """Return the change that was accepted as `version`, if it is kept."""
        for change in self.accepted_changes(state):
            if change.version <= version:
                return change if change.version == version else None
        return None

    def is_accepted(self, state: HeadState, change: Change) -> bool:
        """Return whether a change is among the accepted ones up to `state`.

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
                f"the changes down to version {change.version} cannot be read",
                step="config.read-changes",
                peer=self.client.address,
            )
        return accepted.change_id == change.change_id

    def remove(self, key: str) -> None:
        """Remove an object if it exists."""
        obj = self.client.get(key)
        if obj.version:
            self.client.delete(key, expected_version=obj.version)

    def _read(self, key: str, is_fresh: Callable[[StoreObject], bool]) -> StoreObject:
        for attempt in range(READ_ATTEMPTS):
            if attempt:
                self._sleep(READ_PAUSE_S)
            obj = self.client.get(key)
            if is_fresh(obj):
                return obj
        if obj.version or key == HEAD_KEY:
            raise StoreUnavailableError(
                f"the store answers {key} with stale values only",
                step="config.read",
                peer=self.client.address,
            )
        return obj
