"""The conditional update of `config/head` that accepts a change."""

from collections.abc import Callable
from dataclasses import dataclass

from verbenawick.configuration._change_plan import Plan
from verbenawick.configuration._config_store import ConfigStore, HeadState
from verbenawick.configuration._delta import Difference, find_differences
from verbenawick.configuration._head import HEAD_KEY, encode_record
from verbenawick.configuration._outcomes import conflict, not_begun, outcome_unknown
from verbenawick.errors import (
    ChangeNotBegunError,
    StoreAnswerLostError,
    StoreConditionError,
    StoreUnavailableError,
    VerbenawickError,
)
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event

RETRY_PAUSE_S = 0.2
STEP = "apply.update-head"


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
    """The answer to an update of the head was lost; the update is tried again."""

    change_id: str
    reason: str


class HeadUpdate:
    """One change on its way to acceptance.

    A lost answer is resolved by sending the same conditional update again: either it
    takes effect now, or its condition fails and the head tells which change was
    accepted.

    Parameters
    ----------
    deadline : float
        Instant at which the attempt to find out the outcome ends.
    """

    def __init__(
        self,
        plan: Plan,
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
        # Set while an update may have reached the store or may still do so.
        self._lost: StoreAnswerLostError | None = None

    def run(self) -> None:
        """Return when the change is known to be accepted.

        Raises
        ------
        ChangeNotBegunError
            Nothing was sent; the version before holds.
        ConflictError
            Another change was accepted first.
        ChangeOutcomeUnknownError
            An answer was lost and could not be found out in time.
        """
        while True:
            self._check_deadline()
            try:
                self._send()
                return
            except StoreConditionError as error:
                if self._is_accepted_after_all(error.current_version):
                    return
            except StoreAnswerLostError as error:
                self._lost = error
                emit(HeadAnswerLost(self._plan.head.change_id, error.message))
                self._sleep(RETRY_PAUSE_S)
            except StoreUnavailableError as error:
                self._wait_or_give_up(error)

    def _send(self) -> None:
        value = encode_record(self._plan.head)
        self._config.client.update(
            HEAD_KEY, value, expected_version=self._expected_version
        )

    def _is_accepted_after_all(self, store_version: int) -> bool:
        """Return whether an update sent before took effect, else prepare a new one.

        Raises ConflictError when another change was accepted.
        """
        state, is_accepted = self._read_outcome(store_version)
        if is_accepted:
            return True
        if state.change_id != self._plan.base.state.change_id:
            raise self._conflict(state)
        # Only the store version moved: a relay or `resolve` confirmed the head. The
        # updates sent before carry an outdated condition.
        self._expected_version = state.store_version
        self._lost = None
        return False

    def _read_outcome(self, store_version: int) -> tuple[HeadState, bool]:
        while True:
            self._check_deadline()
            try:
                state = self._config.read_head(at_least=store_version)
                if self._lost is None:
                    return state, False
                return state, self._config.is_accepted(state, self._plan.change)
            except (StoreUnavailableError, StoreAnswerLostError) as error:
                self._wait_or_give_up(error)

    def _wait_or_give_up(
        self, error: StoreUnavailableError | StoreAnswerLostError
    ) -> None:
        if self._lost is None:
            raise not_begun(error, STEP) from error
        self._sleep(RETRY_PAUSE_S)

    def _check_deadline(self) -> None:
        if self._clock.now() < self._deadline:
            return
        address = self._config.client.address
        if self._lost is not None:
            raise outcome_unknown(
                self._plan.head.change_id, self._lost.message, address=address
            ) from self._lost
        raise ChangeNotBegunError(
            "the change took too long; the version before holds",
            step=STEP,
            peer=address,
        )

    def _conflict(self, state: HeadState) -> VerbenawickError:
        change_id = self._plan.head.change_id
        emit(ChangeConflicted(change_id, state.version, state.head.author))
        differences = self._winning_differences(state)
        return conflict(state, differences, address=self._config.client.address)

    def _winning_differences(self, state: HeadState) -> list[Difference]:
        try:
            content = self._config.read_content(state.change_id, state.head.digest)
        except VerbenawickError:
            content = None
        if content is None:
            return [Difference("(the winning document cannot be read)", "", "")]
        return list(find_differences(self._plan.base.content, content))
