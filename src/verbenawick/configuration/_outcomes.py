"""Errors that report the outcome of a change to the operator."""

from collections.abc import Iterator
from contextlib import contextmanager

from verbenawick.configuration._config_store import HeadState
from verbenawick.configuration._delta import Difference
from verbenawick.errors import (
    ChangeNotBegunError,
    ChangeOutcomeUnknownError,
    ConflictError,
    StoreAnswerLostError,
    StoreUnavailableError,
)

MAX_SHOWN_DIFFERENCES = 20


@contextmanager
def store_errors_as_not_begun(step: str) -> Iterator[None]:
    """Convert store errors to `ChangeNotBegunError`.

    Only valid for steps before the update of the head, when the change cannot have been
    accepted yet.
    """
    try:
        yield
    except (StoreUnavailableError, StoreAnswerLostError) as error:
        raise not_begun_error(error, step) from error


def not_begun_error(
    error: StoreUnavailableError | StoreAnswerLostError, step: str
) -> ChangeNotBegunError:
    """Return the error for a change not accepted because of a store error."""
    return ChangeNotBegunError(
        f"the change was not made, the accepted version is unchanged: {error.message}",
        step=step,
        peer=error.peer,
    )


def outcome_unknown_error(
    change_id: str, reason: str, *, address: str
) -> ChangeOutcomeUnknownError:
    """Return the error that includes the command to determine the outcome."""
    return ChangeOutcomeUnknownError(
        f"the outcome of change {change_id} is unknown: {reason}; run "
        f"`verbenawick ctl --store {address} resolve {change_id}`",
        change_id=change_id,
        step="apply.update-head",
        peer=address,
    )


def conflict_error(
    state: HeadState, differences: list[Difference], *, address: str
) -> ConflictError:
    """Return the error with the accepted version and the values that it changed."""
    lines = tuple(str(difference) for difference in differences[:MAX_SHOWN_DIFFERENCES])
    shown = "".join(f"\n  {line}" for line in lines)
    return ConflictError(
        f"version {state.version} by {state.head.author} was accepted first "
        f"({state.head.summary}), this change was rejected. Values changed by the "
        f"accepted version:{shown}",
        winner_version=state.version,
        winner_author=state.head.author,
        differences=lines,
        step="apply.update-head",
        peer=address,
    )
