"""All exceptions of the package.

Each class has a stable code, listed in docs/errors.md. Each instance names the step
at which it arose and the peer concerned.
"""

errors_by_code: dict[str, type["VerbenawickError"]] = {}


def register_error(code: str):
    """Return a class decorator that gives an exception its code.

    Parameters
    ----------
    code : str
        Unique code, for example ``"config.dangling-reference"``.
    """

    def decorate(cls):
        if code in errors_by_code:
            raise ValueError(f"error code {code!r} is registered twice")
        cls.code = code
        errors_by_code[code] = cls
        return cls

    return decorate


@register_error("internal")
class VerbenawickError(Exception):
    """Base class of all errors.

    Parameters
    ----------
    message : str
        What happened and, where possible, how to fix it.
    step : str
        Step at which the error arose, for example ``"apply.update-head"``.
    peer : str
        Node, upstream or store concerned.
    """

    code = "internal"

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with code, step and peer."""
        where = "".join(
            f" {name}={value}"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        )
        return f"{self.message} [{self.code}{where}]"


# Settings and configuration documents


@register_error("settings.invalid")
class SettingsError(VerbenawickError):
    """A settings file is unreadable or breaks a rule."""


@register_error("config.invalid")
class DocumentError(VerbenawickError):
    """A configuration document breaks a rule; `path` names the place in it."""

    def __init__(self, message: str, *, path: str = "", step: str = "", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.path = path


@register_error("config.base-mismatch")
class BaseMismatchError(VerbenawickError):
    """A delta does not apply to the version at hand; a snapshot is needed."""


@register_error("config.digest-mismatch")
class DigestMismatchError(VerbenawickError):
    """A version does not have the digest that was announced for it."""


@register_error("config.older-version")
class OlderVersionError(VerbenawickError):
    """A version lower than the one in force was offered."""


# Acceptance


@register_error("accept.conflict")
class ConflictError(VerbenawickError):
    """Another operator's change was accepted first.

    `winner_version` and `winner_author` name it, `differences` has a line for each
    value that it changed.
    """

    def __init__(
        self,
        message: str,
        *,
        winner_version: int = 0,
        winner_author: str = "",
        differences: tuple[str, ...] = (),
        step: str = "",
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.winner_version = winner_version
        self.winner_author = winner_author
        self.differences = differences


@register_error("accept.not-begun")
class ChangeNotBegunError(VerbenawickError):
    """The change was refused before anything was accepted."""


@register_error("accept.unknown")
class ChangeOutcomeUnknownError(VerbenawickError):
    """The answer to the conditional update was lost and cannot be read back now.

    `change_id` is what `verbenawick ctl resolve` takes.
    """

    def __init__(
        self, message: str, *, change_id: str = "", step: str = "", peer: str = ""
    ):
        super().__init__(message, step=step, peer=peer)
        self.change_id = change_id


# Store


@register_error("store.unavailable")
class StoreUnavailableError(VerbenawickError):
    """The store did not answer, or answered that it is down; nothing was sent."""


@register_error("store.answer-lost")
class StoreAnswerLostError(VerbenawickError):
    """A request was sent to the store and its answer did not arrive."""


@register_error("store.condition-failed")
class StoreConditionError(VerbenawickError):
    """The condition of a conditional update did not hold.

    `current_version` is the version that the store named, 0 for an absent object.
    """

    def __init__(
        self, message: str, *, current_version: int = 0, step: str = "", peer: str = ""
    ):
        super().__init__(message, step=step, peer=peer)
        self.current_version = current_version


@register_error("store.value-too-large")
class StoreValueTooLargeError(VerbenawickError):
    """A value is larger than the store accepts."""


# Links between nodes


@register_error("link.protocol")
class ProtocolError(VerbenawickError):
    """A peer sent bytes that are not a valid message of this protocol version."""


@register_error("link.closed")
class LinkClosedError(VerbenawickError):
    """The link to a peer is closed or could not be opened."""


@register_error("link.overflow")
class LinkOverflowError(VerbenawickError):
    """A peer reads too slowly; its bounded outgoing queue is full."""


@register_error("link.answer-lost")
class AnswerLostError(VerbenawickError):
    """A request was sent to a peer and its answer did not arrive."""
