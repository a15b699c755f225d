"""Acceptance of a configuration change by one conditional update of `config/head`.

The steps of a change are separate methods. Before `update_head` takes effect the old
version holds; after it the new one does, whatever happens to the command.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from time import sleep as sleep_seconds

from verbenawick.configuration._change_plan import Acceptance, Base, Plan, build_plan
from verbenawick.configuration._config_store import ConfigStore, HeadState
from verbenawick.configuration._delta import Content, Difference
from verbenawick.configuration._document import ConfigurationDocument
from verbenawick.configuration._head import Change, encode_record
from verbenawick.configuration._head_update import RETRY_PAUSE_S, HeadUpdate
from verbenawick.configuration._outcomes import (
    not_begun_on_store_errors,
    outcome_unknown,
)
from verbenawick.configuration._pruning import CHANGE_LIMIT_S, PRUNING_INTERVAL, prune
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
CREATE_ATTEMPTS = 3
CONFIRM_ATTEMPTS = 5
CHANGE_ID_BYTES = 8


@register_event(201)
@dataclass(frozen=True, slots=True)
class ChangeAccepted(Event):
    """A change was accepted; its version holds from now on."""

    version: int
    change_id: str
    author: str
    preset: str


@register_event(204, level="WARNING")
@dataclass(frozen=True, slots=True)
class PruningFailed(Event):
    """Old objects were not removed; a later change removes them."""

    reason: str


class Acceptor:
    """Operators' commands on the configuration.

    Parameters
    ----------
    client : StoreClient
    author : str
        Operator named in the change.
    on_step : callable
        Called with the name of each step of a change after it is done.
    resolve_timeout_s : float
        Longest time spent on finding out what a lost answer was.
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
        """Make a document the new version.

        Parameters
        ----------
        expected_version : int, optional
            Version that the document was edited from; another one is a conflict.

        Raises
        ------
        ChangeNotBegunError
            The store is down or slow; the old version holds.
        ConflictError
            Another operator's change was accepted first.
        ChangeOutcomeUnknownError
            The answer to the update was lost and could not be found out in time.
        DocumentError
            The document breaks a rule or is too large.
        """
        content = document.content()
        return self._accept(lambda base: content, summary, expected_version)

    def switch_preset(self, preset_id: str, *, summary: str = "") -> Acceptance:
        """Put another preset in force. Raises the errors of `apply`."""

        def edit(base: Base) -> Content:
            self._require_head(base.state)
            return {**base.content, "preset_in_force": preset_id}

        return self._accept(edit, summary or f"switch to preset {preset_id}")

    def rollback(self, version: int, *, summary: str = "") -> Acceptance:
        """Make the document of an older version the new one.

        Raises the errors of `apply`; DocumentError also when the version is not kept.
        """

        def edit(base: Base) -> Content:
            return self._read_old_content(base, version)

        return self._accept(edit, summary or f"roll back to version {version}")

    def history(self, *, limit: int = 20) -> list[Change]:
        """Return the last accepted changes, the newest first."""
        state = self._config.read_head()
        return list(islice(self._config.accepted_changes(state), limit))

    def resolve(self, change_id: str) -> Acceptance | None:
        """Return the acceptance of a change whose outcome was unknown, or None.

        None is final when the command that made the change has ended: an update that
        is still on its way to the store cannot take effect any more.

        Raises
        ------
        NoSuchChangeError
            The change did not begin, or is older than the versions that are kept.
        ChangeOutcomeUnknownError
            The store does not answer.
        """
        try:
            change = self._config.read_change(change_id)
            if change is None:
                raise NoSuchChangeError(
                    f"there is no change {change_id}: it did not begin, or is older "
                    "than the versions that are kept; see `ctl history`",
                    step="resolve.read-change",
                    peer=self._client.address,
                )
            return self._resolve_change(change)
        except (StoreUnavailableError, StoreAnswerLostError) as error:
            raise outcome_unknown(
                change_id, error.message, address=self._client.address
            ) from error

    def _resolve_change(self, change: Change) -> Acceptance | None:
        at_least = 0
        for _ in range(CONFIRM_ATTEMPTS):
            state = self._config.read_head(at_least=at_least)
            if self._config.is_accepted(state, change):
                return _accepted(change)
            if state.head is None:
                # An absent head cannot be confirmed, so nothing stops the update.
                break
            try:
                self._config.confirm_head(state)
                return None
            except StoreConditionError as error:
                at_least = error.current_version
        raise outcome_unknown(
            change.change_id,
            "the head cannot be confirmed",
            address=self._client.address,
        )

    # Steps of a change

    def _accept(
        self,
        edit: Callable[[Base], Content],
        summary: str,
        expected_version: int | None = None,
    ) -> Acceptance:
        at_least = 0
        for _ in range(CONFIRM_ATTEMPTS):
            base = self.read_base(at_least=at_least)
            self._check_expected(base, expected_version)
            self._on_step("read-base")
            content = edit(base)
            if content != base.content:
                return self._write(self.plan(base, content, summary))
            try:
                # A stale head would make a lost change look like one in force.
                with not_begun_on_store_errors("apply.confirm"):
                    self._config.confirm_head(base.state)
                return _unchanged(base)
            except StoreConditionError as error:
                at_least = error.current_version
        raise ChangeNotBegunError(
            "the head changes faster than it can be confirmed; try again",
            step="apply.confirm",
            peer=self._client.address,
        )

    def _write(self, plan: Plan) -> Acceptance:
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
        return _accepted(plan.change, plan.differences)

    def read_base(self, *, at_least: int = 0) -> Base:
        """Return the accepted version and its document.

        Raises
        ------
        ChangeNotBegunError
            The store does not answer.
        """
        with not_begun_on_store_errors("apply.read-base"):
            state = self._config.read_head(at_least=at_least)
            if state.head is None:
                return Base(state, {})
            content = self._config.read_content(state.change_id, state.head.digest)
            if content is None:
                raise ChangeNotBegunError(
                    f"the document of version {state.version} cannot be read",
                    step="apply.read-base",
                    peer=self._client.address,
                )
            return Base(state, content)

    def plan(self, base: Base, content: Content, summary: str) -> Plan:
        """Validate and compile a document and build the objects to write.

        Raises
        ------
        DocumentError
            The document breaks a rule, or is over the store's limit.
        """
        return build_plan(
            base,
            content,
            change_id=self._new_change_id(),
            author=self._author,
            summary=summary,
            deadline=self._clock.now() + CHANGE_LIMIT_S,
        )

    def write_change(self, plan: Plan) -> None:
        """Create the change object."""
        key = plan.head.change_key
        self._create(plan, key, encode_record(plan.change), "apply.write-change")

    def write_snapshot(self, plan: Plan) -> None:
        """Create the snapshot object."""
        key = plan.head.snapshot_key
        self._create(plan, key, plan.snapshot, "apply.write-snapshot")

    def update_head(self, plan: Plan) -> None:
        """Accept the change; see `HeadUpdate.run` for the errors."""
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
            self._remove_objects(plan)
            raise

    def prune(self, plan: Plan) -> None:
        """Remove old and orphaned objects after each `pruning_interval` versions."""
        if plan.head.version % self._pruning_interval:
            return
        try:
            prune(self._config)
        except VerbenawickError as error:
            # The change is accepted; what is left goes with a later one.
            emit(PruningFailed(str(error)))

    def _create(self, plan: Plan, key: str, value: bytes, step: str) -> None:
        with not_begun_on_store_errors(step):
            for attempt in range(1, CREATE_ATTEMPTS + 1):
                self._check_age(plan, step)
                try:
                    self._client.update(key, value, expected_version=0)
                    return
                except StoreConditionError:
                    # Only this command uses the change id: an attempt took effect.
                    return
                except StoreAnswerLostError:
                    if attempt == CREATE_ATTEMPTS:
                        raise
                    self._sleep(RETRY_PAUSE_S)

    def _check_age(self, plan: Plan, step: str) -> None:
        if self._clock.now() >= plan.deadline:
            raise ChangeNotBegunError(
                "the change took too long; the version before holds",
                step=step,
                peer=self._client.address,
            )

    # Inputs of a change

    def _check_expected(self, base: Base, expected_version: int | None) -> None:
        if expected_version is None or base.state.version == expected_version:
            return
        author = base.state.head.author if base.state.head else ""
        raise ConflictError(
            f"version {base.state.version} by {author or 'nobody'} is in force, the "
            f"document was edited from version {expected_version}; edit it from "
            "`ctl show`",
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

    def _read_old_content(self, base: Base, version: int) -> Content:
        self._require_head(base.state)
        with not_begun_on_store_errors("rollback.read"):
            change = self._config.accepted_change(base.state, version)
            content = change and self._config.read_content(
                change.change_id, change.digest
            )
        if content is None:
            raise DocumentError(
                f"version {version} is not kept; `ctl history` lists the versions",
                step="rollback.read",
                peer=self._client.address,
            )
        return content

    def _remove_objects(self, plan: Plan) -> None:
        try:
            self._config.remove(plan.head.snapshot_key)
            self._config.remove(plan.head.change_key)
        except VerbenawickError as error:
            emit(PruningFailed(str(error)))


def _unchanged(base: Base) -> Acceptance:
    head = base.state.head
    return Acceptance(head.version, head.change_id, head.preset, is_new=False)


def _accepted(change: Change, differences: tuple[Difference, ...] = ()) -> Acceptance:
    return Acceptance(
        change.version, change.change_id, change.preset, True, differences
    )
