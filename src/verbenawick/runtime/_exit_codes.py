"""Exit codes of the command line; docs/operators.md explains them to operators."""

from enum import IntEnum

from verbenawick.errors import (
    ChangeNotBegunError,
    ChangeOutcomeUnknownError,
    ConflictError,
    DocumentError,
    ListenError,
    NodePageError,
    NoSuchChangeError,
    SettingsError,
    StoreAnswerLostError,
    StoreUnavailableError,
    VerbenawickError,
)


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    INTERNAL = 1
    USAGE = 2
    NOT_EVERYWHERE = 3
    REFUSED = 4
    CONFLICT = 5
    UNKNOWN = 6
    STORE_DOWN = 7
    NODE_DOWN = 8


DESCRIPTIONS_BY_EXIT_CODE = {
    ExitCode.DONE: "done: accepted; with --wait and for status: in force everywhere",
    ExitCode.INTERNAL: "internal error",
    ExitCode.USAGE: "wrong arguments",
    ExitCode.NOT_EVERYWHERE: "accepted, but not (known to be) in force everywhere yet",
    ExitCode.REFUSED: "refused: nothing was changed, correct the input",
    ExitCode.CONFLICT: "conflict: another change was accepted first, this one was not",
    ExitCode.UNKNOWN: "outcome unknown: run the `resolve` command that is shown",
    ExitCode.STORE_DOWN: "the store is down or slow: the change was not made",
    ExitCode.NODE_DOWN: "the node that was asked does not answer",
}

_EXIT_CODES_BY_ERROR: dict[type[VerbenawickError], ExitCode] = {
    DocumentError: ExitCode.REFUSED,
    SettingsError: ExitCode.REFUSED,
    ListenError: ExitCode.REFUSED,
    NodePageError: ExitCode.NODE_DOWN,
    NoSuchChangeError: ExitCode.REFUSED,
    ConflictError: ExitCode.CONFLICT,
    ChangeOutcomeUnknownError: ExitCode.UNKNOWN,
    ChangeNotBegunError: ExitCode.STORE_DOWN,
    StoreUnavailableError: ExitCode.STORE_DOWN,
    StoreAnswerLostError: ExitCode.STORE_DOWN,
}


def exit_code_of(error: VerbenawickError) -> ExitCode:
    """Return the exit code for an error."""
    for cls in type(error).__mro__:
        if cls in _EXIT_CODES_BY_ERROR:
            return _EXIT_CODES_BY_ERROR[cls]
    return ExitCode.INTERNAL
