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
    """Another operator's change was accepted first."""


@register_error("accept.not-begun")
class ChangeNotBegunError(VerbenawickError):
    """The change was refused before anything was accepted."""


@register_error("accept.unknown")
class ChangeOutcomeUnknownError(VerbenawickError):
    """The answer to the conditional update was lost and cannot be read back now."""


# Store


@register_error("store.unavailable")
class StoreUnavailableError(VerbenawickError):
    """The store did not answer, or answered that it is down; nothing was sent."""


@register_error("store.answer-lost")
class StoreAnswerLostError(VerbenawickError):
    """A request was sent to the store and its answer did not arrive."""


@register_error("store.condition-failed")
class StoreConditionError(VerbenawickError):
    """The condition of a conditional update did not hold."""


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


# Claims of idempotency keys


class ClaimError(VerbenawickError):
    """Base class of the reasons for which a key is not claimed.

    Attributes
    ----------
    proves_not_run : bool
        Whether a first attempt that meets this error is known not to have run. A later
        attempt is never told "not run", since an earlier one may have.
    """

    proves_not_run = True


@register_error("claim.not-owner")
class NotOwnerError(ClaimError):
    """The node does not own the key under its own member table; refresh and resend."""


@register_error("claim.taken")
class ClaimTakenError(ClaimError):
    """Another node asked for the key while this one was about to claim it; resend."""

    proves_not_run = False


@register_error("claim.authority-ended")
class AuthorityEndedError(ClaimError):
    """The node's membership was not confirmed recently enough to claim keys."""


@register_error("claim.deadline-passed")
class ClaimDeadlineError(ClaimError):
    """The deadline of the call passed before its key could be claimed."""


@register_error("claim.stopping")
class ClaimStoppingError(ClaimError):
    """The node is about to stop and claims no more keys; refresh and resend."""


@register_error("claim.table-full")
class ClaimTableFullError(ClaimError):
    """The record table is full and its oldest record is within the horizon."""


@register_error("claim.key-invalid")
class ClaimKeyError(ClaimError):
    """The idempotency key is empty or too long."""


@register_error("claim.key-reused")
class ClaimKeyReusedError(ClaimError):
    """The key belongs to a request with another method, target or body."""

    proves_not_run = False


@register_error("claim.in-progress")
class ClaimInProgressError(ClaimError):
    """An earlier request with this key is running or about to run."""

    proves_not_run = False


@register_error("claim.outcome-unknown")
class ClaimOutcomeUnknownError(ClaimError):
    """An earlier request with this key may have run; its response is not known."""

    proves_not_run = False


@register_error("claim.answer-not-kept")
class ClaimAnswerNotKeptError(ClaimError):
    """An earlier request with this key ran in full; its response was not kept."""

    proves_not_run = False


@register_error("claim.earlier-owner-unreachable")
class EarlierOwnerUnreachableError(ClaimError):
    """A possible earlier owner of the key did not seal it; resend later."""


@register_error("claim.earlier-owner-departed")
class EarlierOwnerDepartedError(ClaimError):
    """An earlier owner of the key departed and may still run it; resend later."""
