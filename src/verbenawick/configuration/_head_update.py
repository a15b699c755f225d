"""Conditional update of `config/head` that accepts a change."""

from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.configuration._change_plan import ChangePlan
from verbenawick.configuration._config_store import ConfigStore, HeadState
from verbenawick.configuration._delta import Difference, find_differences
from verbenawick.configuration._head import HEAD_KEY, encode_record
from verbenawick.configuration._outcomes import (
    conflict_error,
    not_begun_error,
    outcome_unknown_error,
)
from verbenawick.errors import (
    ChangeNotBegunError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
    VerbenawickError,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

RETRY_DELAY_S = 0.2
UPDATE_HEAD_STEP = "apply.update-head"


@register_event(202, level="WARNING")
@dataclass(frozen=True, slots=True)
class ChangeConflicted(Event):
    """Another change was accepted first."""

    change_id: str
    winner_version: int
    winner_author: str


@register_event(203, level="WARNING")
@dataclass(frozen=True, slots=True)
class HeadAnswerLost(Event):
    """The response to an update of the head was lost; the update will be retried."""

    change_id: str
    reason: str


class HeadUpdate:
    """Conditional update of the head to the version of a change.

    After a lost response, the same conditional update is sent again: either it takes
    effect now, or its condition fails and the head shows which change was accepted.

    Parameters
    ----------
    deadline : float
        Time on `clock` after which the update is no longer retried.
    """

    def __init__(
        self,
        plan: ChangePlan,
        config: ConfigStore,
        *,
        clock: Clock,
        sleep: Callable[[float], None],
        deadline: float,
    ):
        self._plan = plan
        self._config = config
        self._clock = clock
        self._sleep = sleep
        self._deadline = min(deadline, plan.deadline)
        self._expected_version = plan.base.state.store_version
        # Set while an earlier update may have reached the store or may still do so.
        self._lost_answer_error: StoreAnswerLostError | None = None

    def run(self) -> None:
        """Update the head; return once the change is known to be accepted.

        Raises
        ------
        ChangeNotBegunError
            No update took effect; the accepted version is unchanged.
        ConflictError
            Another change was accepted first.
        ChangeOutcomeUnknownError
            A response was lost and the outcome could not be determined in time.
        """
        while True:
            self._check_deadline()
            try:
                self._send_update()
                return
            except StoreConditionError as error:
                if self._is_already_accepted(error.current_version):
                    return
            except StoreAnswerLostError as error:
                self._lost_answer_error = error
                emit(HeadAnswerLost(self._plan.head.change_id, error.message))
                self._sleep(RETRY_DELAY_S)
            except StoreUnavailableError as error:
                self._wait_or_raise(error)

    def _send_update(self) -> None:
        value = encode_record(self._plan.head)
        self._config.client.update(
            HEAD_KEY, value, expected_version=self._expected_version
        )

    def _is_already_accepted(self, store_version: int) -> bool:
        """Return whether an earlier update took effect; otherwise prepare a new one.

        Raises ConflictError if another change was accepted.
        """
        state, is_accepted = self._read_outcome(store_version)
        if is_accepted:
            return True
        if state.change_id != self._plan.base.state.change_id:
            raise self._conflict_error(state)
        # Only the store version of the head changed, since a relay or `resolve`
        # confirmed it. Earlier updates have an outdated condition and cannot succeed.
        self._expected_version = state.store_version
        self._lost_answer_error = None
        return False

    def _read_outcome(self, store_version: int) -> tuple[HeadState, bool]:
        while True:
            self._check_deadline()
            try:
                state = self._config.read_head(min_store_version=store_version)
                if self._lost_answer_error is None:
                    return state, False
                return state, self._config.is_accepted(state, self._plan.change)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                self._wait_or_raise(error)

    def _wait_or_raise(
        self, error: StoreUnavailableError | StoreAnswerLostError
    ) -> None:
        if self._lost_answer_error is None:
            raise not_begun_error(error, UPDATE_HEAD_STEP) from error
        self._sleep(RETRY_DELAY_S)

    def _check_deadline(self) -> None:
        if self._clock.now() < self._deadline:
            return
        address = self._config.client.address
        if self._lost_answer_error is not None:
            raise outcome_unknown_error(
                self._plan.head.change_id,
                self._lost_answer_error.message,
                address=address,
            ) from self._lost_answer_error
        raise ChangeNotBegunError(
            "the change exceeded its time limit; the accepted version is unchanged",
            step=UPDATE_HEAD_STEP,
            peer=address,
        )

    def _conflict_error(self, state: HeadState) -> VerbenawickError:
        change_id = self._plan.head.change_id
        emit(ChangeConflicted(change_id, state.version, state.head.author))
        differences = self._differences_from_base(state)
        return conflict_error(state, differences, address=self._config.client.address)

    def _differences_from_base(self, state: HeadState) -> list[Difference]:
        try:
            content = self._config.read_content(state.change_id, state.head.digest)
        except VerbenawickError:
            content = None
        if content is None:
            return [Difference("(the accepted document cannot be read)", "", "")]
        return list(find_differences(self._plan.base.content, content))
