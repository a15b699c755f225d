"""Errors that tell an operator what became of a change."""

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

MAX_DIFFERENCES = 20


@contextmanager
def not_begun_on_store_errors(step: str) -> Iterator[None]:
    """Turn errors of the store into `ChangeNotBegunError`.

    Only for steps before the update of the head, when nothing can be accepted yet.
    """
    try:
        yield
    except (StoreUnavailableError, StoreAnswerLostError) as error:
        raise not_begun(error, step) from error


def not_begun(
    error: StoreUnavailableError | StoreAnswerLostError, step: str
) -> ChangeNotBegunError:
    """Return the error for a change that the store kept from being accepted."""
    return ChangeNotBegunError(
        f"the change did not begin, the version before holds: {error.message}",
        step=step,
        peer=error.peer,
    )


def outcome_unknown(
    change_id: str, reason: str, *, address: str
) -> ChangeOutcomeUnknownError:
    """Return the error that names the command that resolves the outcome."""
    return ChangeOutcomeUnknownError(
        f"whether change {change_id} was accepted is unknown: {reason}; run "
        f"`verbenawick ctl --store {address} resolve {change_id}`",
        change_id=change_id,
        step="apply.update-head",
        peer=address,
    )


def conflict(
    state: HeadState, differences: list[Difference], *, address: str
) -> ConflictError:
    """Return the error that names the winner and what it changed."""
    lines = tuple(str(difference) for difference in differences[:MAX_DIFFERENCES])
    shown = "".join(f"\n  {line}" for line in lines)
    return ConflictError(
        f"version {state.version} by {state.head.author} was accepted first "
        f"({state.head.summary}); this change was not. It changed:{shown}",
        winner_version=state.version,
        winner_author=state.head.author,
        differences=lines,
        step="apply.update-head",
        peer=address,
    )
