"""Acceptance of a configuration change by one conditional update of `config/head`.

Each step of a change is a separate method. Until `update_head` takes effect, the old
version is the accepted one; afterwards the new version is, even if the command is
interrupted.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from time import sleep as sleep_seconds

from verbenawick.configuration._change_plan import (
    Acceptance,
    BaseVersion,
    ChangePlan,
    build_plan,
)
from verbenawick.configuration._config_store import ConfigStore, HeadState
from verbenawick.configuration._delta import Content, Difference
from verbenawick.configuration._document import ConfigurationDocument
from verbenawick.configuration._head import Change, encode_record
from verbenawick.configuration._head_update import RETRY_DELAY_S, HeadUpdate
from verbenawick.configuration._outcomes import (
    outcome_unknown_error,
    store_errors_as_not_begun,
)
from verbenawick.configuration._pruning import (
    MAX_CHANGE_DURATION_S,
    PRUNING_INTERVAL,
    prune,
)
from verbenawick.errors import (
    ChangeNotBegunError,
    ConflictError,
    DocumentError,
    NoSuchChangeError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
    VerbenawickError,
)
from verbenawick.runtime._clock import Clock, MonotonicClock
from verbenawick.runtime._events import Event, emit, register_event
from verbenawick.store._store import StoreClient

RESOLVE_TIMEOUT_S = 10.0
MAX_CREATE_ATTEMPTS = 3
MAX_CONFIRM_ATTEMPTS = 5
CHANGE_ID_BYTES = 8


@register_event(201)
@dataclass(frozen=True, slots=True)
class ChangeAccepted(Event):
    """A change was accepted as a new version."""

    version: int
    change_id: str
    author: str
    preset: str


@register_event(204, level="WARNING")
@dataclass(frozen=True, slots=True)
class PruningFailed(Event):
    """Removing obsolete objects failed; a later change will remove them."""

    reason: str


class Acceptor:
    """Changes the accepted configuration on behalf of an operator.

    Parameters
    ----------
    client : StoreClient
    author : str
        Operator recorded in the changes.
    on_step : callable
        Called with the name of each step of a change once it is done.
    resolve_timeout_s : float
        Maximum time for the update of the head, including the time to determine its
        outcome after a lost response.
    pruning_interval : int
        Number of versions between two pruning runs.
    """

    def __init__(
        self,
        client: StoreClient,
        *,
        author: str,
        clock: Clock | None = None,
        sleep: Callable[[float], None] = sleep_seconds,
        new_change_id: Callable[[], str] = lambda: secrets.token_hex(CHANGE_ID_BYTES),
        on_step: Callable[[str], None] = lambda step: None,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
        pruning_interval: int = PRUNING_INTERVAL,
    ):
        self._client = client
        self._author = author
        self._clock = clock or MonotonicClock()
        self._sleep = sleep
        self._new_change_id = new_change_id
        self._on_step = on_step
        self._resolve_timeout_s = resolve_timeout_s
        self._pruning_interval = pruning_interval
        self._config = ConfigStore(client, sleep=sleep)

    def apply(
        self,
        document: ConfigurationDocument,
        *,
        summary: str = "",
        expected_version: int | None = None,
    ) -> Acceptance:
        """Accept a document as the new version.

        Parameters
        ----------
        expected_version : int, optional
            Version that the document is based on. If another version is accepted, the
            change is a conflict.

        Raises
        ------
        ChangeNotBegunError
            The store is unavailable or too slow; the accepted version is unchanged.
        ConflictError
            Another operator's change was accepted first.
        ChangeOutcomeUnknownError
            The response to the update was lost and the outcome could not be determined
            in time.
        DocumentError
            The document is invalid or too large.
        """
        content = document.content()
        return self._accept_edit(lambda base: content, summary, expected_version)

    def switch_preset(self, preset_id: str, *, summary: str = "") -> Acceptance:
        """Accept the current document with another preset in force.

        Raises the same errors as `apply`.
        """

        def edit(base: BaseVersion) -> Content:
            self._require_head(base.state)
            return {**base.content, "preset_in_force": preset_id}

        return self._accept_edit(edit, summary or f"switch to preset {preset_id}")

    def rollback(self, version: int, *, summary: str = "") -> Acceptance:
        """Accept the document of an older version as the new version.

        Raises the same errors as `apply`, and DocumentError also if the older version
        does not exist or has been pruned.
        """

        def edit(base: BaseVersion) -> Content:
            return self._read_content_of_version(base, version)

        return self._accept_edit(edit, summary or f"roll back to version {version}")

    def history(self, *, limit: int = 20) -> list[Change]:
        """Return the latest accepted changes, newest first."""
        state = self._config.read_head()
        return list(islice(self._config.accepted_changes(state), limit))

    def resolve(self, change_id: str) -> Acceptance | None:
        """Return the acceptance of a change, or None if it was not accepted.

        None is final once the command that made the change has ended: an update that
        is still in flight can no longer take effect.

        Raises
        ------
        NoSuchChangeError
            The change was not written to the store, or has been pruned.
        ChangeOutcomeUnknownError
            The store does not respond, or the head cannot be confirmed.
        """
        try:
            change = self._config.read_change(change_id)
            if change is None:
                raise NoSuchChangeError(
                    f"change {change_id} does not exist: it was not written to the "
                    "store or has been pruned; see `ctl history`",
                    step="resolve.read-change",
                    peer=self._client.address,
                )
            return self._resolve_change(change)
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            raise outcome_unknown_error(
                change_id, error.message, address=self._client.address
            ) from error

    def _resolve_change(self, change: Change) -> Acceptance | None:
        min_store_version = 0
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            state = self._config.read_head(min_store_version=min_store_version)
            if self._config.is_accepted(state, change):
                return _acceptance_of(change)
            if state.head is None:
                # Without a head to confirm, an update in flight cannot be ruled out.
                break
            try:
                self._config.confirm_head(state)
                return None
            except StoreConditionError as error:
                min_store_version = error.current_version
        raise outcome_unknown_error(
            change.change_id,
            "the head could not be confirmed",
            address=self._client.address,
        )

    # Steps of a change

    def _accept_edit(
        self,
        edit: Callable[[BaseVersion], Content],
        summary: str,
        expected_version: int | None = None,
    ) -> Acceptance:
        min_store_version = 0
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            base = self.read_base(min_store_version=min_store_version)
            self._check_expected_version(base, expected_version)
            self._on_step("read-base")
            content = edit(base)
            if content != base.content:
                return self._execute_plan(self.plan(base, content, summary))
            try:
                # If the head is stale, the document may no longer be the accepted one,
                # and the requested change would be dropped.
                with store_errors_as_not_begun("apply.confirm"):
                    self._config.confirm_head(base.state)
                return _unchanged_acceptance(base)
            except StoreConditionError as error:
                min_store_version = error.current_version
        raise ChangeNotBegunError(
            "the head was updated during each attempt to confirm it; try again",
            step="apply.confirm",
            peer=self._client.address,
        )

    def _execute_plan(self, plan: ChangePlan) -> Acceptance:
        self._on_step("plan")
        self.write_change(plan)
        self._on_step("write-change")
        self.write_snapshot(plan)
        self._on_step("write-snapshot")
        self.update_head(plan)
        emit(
            ChangeAccepted(
                plan.head.version,
                plan.head.change_id,
                plan.head.author,
                plan.head.preset,
            )
        )
        self._on_step("update-head")
        self.prune(plan)
        self._on_step("prune")
        return _acceptance_of(plan.change, plan.differences)

    def read_base(self, *, min_store_version: int = 0) -> BaseVersion:
        """Return the accepted version and its document.

        Raises
        ------
        ChangeNotBegunError
            The store does not respond, or the document cannot be read.
        """
        with store_errors_as_not_begun("apply.read-base"):
            state = self._config.read_head(min_store_version=min_store_version)
            if state.head is None:
                return BaseVersion(state, {})
            content = self._config.read_content(state.change_id, state.head.digest)
            if content is None:
                raise ChangeNotBegunError(
                    f"the snapshot of version {state.version} was not found",
                    step="apply.read-base",
                    peer=self._client.address,
                )
            return BaseVersion(state, content)

    def plan(self, base: BaseVersion, content: Content, summary: str) -> ChangePlan:
        """Validate and compile a document and build the objects to write.

        Raises
        ------
        DocumentError
            The document is invalid, or an object exceeds the store's size limit.
        """
        return build_plan(
            base,
            content,
            change_id=self._new_change_id(),
            author=self._author,
            summary=summary,
            deadline=self._clock.now() + MAX_CHANGE_DURATION_S,
        )

    def write_change(self, plan: ChangePlan) -> None:
        """Create the change object."""
        key = plan.head.change_key
        self._create(plan, key, encode_record(plan.change), "apply.write-change")

    def write_snapshot(self, plan: ChangePlan) -> None:
        """Create the snapshot object."""
        key = plan.head.snapshot_key
        self._create(plan, key, plan.snapshot, "apply.write-snapshot")

    def update_head(self, plan: ChangePlan) -> None:
        """Update the head to accept the change; see `HeadUpdate.run` for the errors."""
        update = HeadUpdate(
            plan,
            self._config,
            clock=self._clock,
            sleep=self._sleep,
            deadline=self._clock.now() + self._resolve_timeout_s,
        )
        try:
            update.run()
        except ConflictError:
            self._remove_unaccepted_objects(plan)
            raise

    def prune(self, plan: ChangePlan) -> None:
        """Remove old and orphaned objects once every `pruning_interval` versions."""
        if plan.head.version % self._pruning_interval:
            return
        try:
            prune(self._config)
        except VerbenawickError as error:
            # The change itself is accepted; a later change prunes the rest.
            emit(PruningFailed(str(error)))

    def _create(self, plan: ChangePlan, key: str, value: bytes, step: str) -> None:
        with store_errors_as_not_begun(step):
            for attempt in range(1, MAX_CREATE_ATTEMPTS + 1):
                self._check_deadline(plan, step)
                try:
                    self._client.update(key, value, expected_version=0)
                    return
                except StoreConditionError:
                    # The change id is unique to this command, so an earlier attempt
                    # has created the object.
                    return
                except StoreAnswerLostError:
                    if attempt == MAX_CREATE_ATTEMPTS:
                        raise
                    self._sleep(RETRY_DELAY_S)

    def _check_deadline(self, plan: ChangePlan, step: str) -> None:
        if self._clock.now() >= plan.deadline:
            raise ChangeNotBegunError(
                "the change exceeded its time limit; the accepted version is unchanged",
                step=step,
                peer=self._client.address,
            )

    # Inputs of a change

    def _check_expected_version(
        self, base: BaseVersion, expected_version: int | None
    ) -> None:
        if expected_version is None or base.state.version == expected_version:
            return
        author = base.state.head.author if base.state.head else ""
        raise ConflictError(
            f"version {base.state.version} by {author or 'nobody'} is accepted, but "
            f"the document is based on version {expected_version}; edit the output of "
            "`ctl show` instead",
            winner_version=base.state.version,
            winner_author=author,
            step="apply.check-base",
            peer=self._client.address,
        )

    def _require_head(self, state: HeadState) -> None:
        if state.head is None:
            raise DocumentError(
                "no configuration is accepted yet; use `ctl apply FILE` first",
                step="apply.read-base",
                peer=self._client.address,
            )

    def _read_content_of_version(self, base: BaseVersion, version: int) -> Content:
        self._require_head(base.state)
        with store_errors_as_not_begun("rollback.read"):
            change = self._config.accepted_change(base.state, version)
            content = change and self._config.read_content(
                change.change_id, change.digest
            )
        if content is None:
            raise DocumentError(
                f"version {version} does not exist or has been pruned; run "
                "`ctl history` for the accepted versions",
                step="rollback.read",
                peer=self._client.address,
            )
        return content

    def _remove_unaccepted_objects(self, plan: ChangePlan) -> None:
        try:
            self._config.remove(plan.head.snapshot_key)
            self._config.remove(plan.head.change_key)
        except VerbenawickError as error:
            emit(PruningFailed(str(error)))


def _unchanged_acceptance(base: BaseVersion) -> Acceptance:
    head = base.state.head
    return Acceptance(head.version, head.change_id, head.preset, is_new=False)


def _acceptance_of(
    change: Change, differences: tuple[Difference, ...] = ()
) -> Acceptance:
    return Acceptance(
        change.version, change.change_id, change.preset, True, differences
    )
