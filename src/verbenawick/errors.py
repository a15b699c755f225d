"""All exceptions of the package.

Each class has a stable code, listed in docs/errors.md. Instances may name the step that
failed and the peer concerned.
"""

errors_by_code: dict[str, type["VerbenawickError"]] = {}


def register_error(code: str):
    """Return a class decorator that sets and registers the code of an exception.

    Parameters
    ----------
    code : str
        Unique code, for example ``"config.base-mismatch"``.
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
        Description of the error and, if possible, how to fix it.
    step : str
        Step that failed, for example ``"apply.update-head"``.
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
    """A settings file cannot be read or is invalid."""


@register_error("config.invalid")
class DocumentError(VerbenawickError):
    """A configuration document is invalid; `path` locates the value in it."""

    def __init__(self, message: str, *, path: str = "", step: str = "", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.path = path


@register_error("config.base-mismatch")
class BaseMismatchError(VerbenawickError):
    """A delta does not apply to the local version; a snapshot is needed."""


@register_error("config.digest-mismatch")
class DigestMismatchError(VerbenawickError):
    """The digest of a version differs from the announced one."""


@register_error("config.older-version")
class OlderVersionError(VerbenawickError):
    """A version lower than the one in force was received."""


# Acceptance


@register_error("accept.conflict")
class ConflictError(VerbenawickError):
    """Another operator's change was accepted first.

    `winner_version` and `winner_author` identify that change; `differences` has a line
    for each value that it changed.
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
    """The change failed before any part of it was accepted."""


@register_error("accept.no-such-change")
class NoSuchChangeError(VerbenawickError):
    """The store has no change with this id."""


@register_error("accept.unknown")
class ChangeOutcomeUnknownError(VerbenawickError):
    """The response to the conditional update was lost and cannot be read back now.

    `change_id` is the argument for `verbenawick ctl resolve`.
    """

    def __init__(
        self, message: str, *, change_id: str = "", step: str = "", peer: str = ""
    ):
        super().__init__(message, step=step, peer=peer)
        self.change_id = change_id


# Store


@register_error("store.unavailable")
class StoreUnavailableError(VerbenawickError):
    """The store did not respond or reported that it is down; nothing was changed."""


@register_error("store.answer-lost")
class StoreAnswerLostError(VerbenawickError):
    """A request was sent to the store, but no response arrived."""


@register_error("store.condition-failed")
class StoreConditionError(VerbenawickError):
    """The condition of a conditional update was not met.

    `current_version` is the version reported by the store, 0 if the object is absent.
    """

    def __init__(
        self, message: str, *, current_version: int = 0, step: str = "", peer: str = ""
    ):
        super().__init__(message, step=step, peer=peer)
        self.current_version = current_version


@register_error("store.history-gone")
class StoreHistoryGoneError(VerbenawickError):
    """The store has discarded the changes after a revision; a full read is needed."""


@register_error("store.value-too-large")
class StoreValueTooLargeError(VerbenawickError):
    """A value exceeds the size limit of the store."""


# Links between nodes


@register_error("link.protocol")
class ProtocolError(VerbenawickError):
    """A peer sent data that is not a valid message of this protocol version."""


@register_error("link.closed")
class LinkClosedError(VerbenawickError):
    """The link to a peer is closed or could not be opened."""


@register_error("link.overflow")
class LinkOverflowError(VerbenawickError):
    """The bounded outgoing queue to a peer is full, since the peer reads too slowly."""


@register_error("link.answer-lost")
class AnswerLostError(VerbenawickError):
    """A request was sent to a peer, but no response arrived."""


@register_error("link.peer-silent")
class PeerSilentError(VerbenawickError):
    """A peer does not respond to pings; the request to it is still pending.

    Attributes
    ----------
    pending : PendingRequest
        The request, which has to be resumed or abandoned.
    """

    def __init__(self, message: str, *, pending, step: str = "", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.pending = pending


# Claims of idempotency keys


class ClaimError(VerbenawickError):
    """Base class of errors for which an idempotency key is not claimed.

    Attributes
    ----------
    proves_not_run : bool
        Whether a first attempt with this error is known not to have run. Later attempts
        are never reported as "not run", since an earlier one may have run.
    http_status : int
        Status of the response to the caller.
    """

    proves_not_run = True
    http_status = 503


@register_error("claim.not-owner")
class NotOwnerError(ClaimError):
    """The node is not the key's owner by its own member table; refresh and retry."""


@register_error("claim.taken")
class ClaimTakenError(ClaimError):
    """Another node requested the key while this node was claiming it; retry."""

    proves_not_run = False


@register_error("claim.authority-ended")
class AuthorityEndedError(ClaimError):
    """The node may not claim keys, since its membership was not confirmed recently."""


@register_error("claim.deadline-passed")
class ClaimDeadlineError(ClaimError):
    """The deadline of the call expired before its key could be claimed."""

    http_status = 504


@register_error("claim.stopping")
class ClaimStoppingError(ClaimError):
    """The node is stopping and claims no more keys; refresh and retry."""


@register_error("claim.table-full")
class ClaimTableFullError(ClaimError):
    """The record table is full; its oldest record is within the takeover horizon."""


@register_error("claim.key-invalid")
class ClaimKeyError(ClaimError):
    """The idempotency key is empty or too long."""

    http_status = 400


@register_error("claim.key-reused")
class ClaimKeyReusedError(ClaimError):
    """The key was used for a request with a different method, target or body."""

    proves_not_run = False
    http_status = 422


@register_error("claim.in-progress")
class ClaimInProgressError(ClaimError):
    """An earlier request with this key is running or about to run."""

    proves_not_run = False
    http_status = 409


@register_error("claim.outcome-unknown")
class ClaimOutcomeUnknownError(ClaimError):
    """An earlier request with this key may have run; its response is not known."""

    proves_not_run = False
    http_status = 409


@register_error("claim.answer-not-kept")
class ClaimAnswerNotKeptError(ClaimError):
    """An earlier request with this key completed, but its response was not kept."""

    proves_not_run = False
    http_status = 409


@register_error("claim.earlier-owner-unreachable")
class EarlierOwnerUnreachableError(ClaimError):
    """A possible earlier owner of the key did not seal it; retry later."""


@register_error("claim.earlier-owner-departed")
class EarlierOwnerDepartedError(ClaimError):
    """An earlier owner of the key has departed and may still run it; retry later."""


@register_error("claim.earlier-owner-lost")
class EarlierOwnerLostError(ClaimError):
    """An earlier owner of the key was lost a moment ago and may return; retry soon."""


@register_error("node.page")
class NodePageError(VerbenawickError):
    """An admin page of a node cannot be read."""


@register_error("node.listen")
class ListenError(VerbenawickError):
    """A listening address is in use or not available on this VM."""


# Leases and membership


@register_error("lease.not-held")
class LeaseNotHeldError(StoreUnavailableError):
    """A write requires a lease that this node does not hold; nothing was sent."""


@register_error("member.invalid-table")
class MemberTableError(VerbenawickError):
    """A member table from a peer or from the store is invalid."""


# Calls


@register_error("call.failed")
class CallError(VerbenawickError):
    """A call has no complete response from an upstream.

    Attributes
    ----------
    outcome : str
        ``"not-run"`` if the request is known not to have run, else ``"unknown"``.
    http_status : int
        Status of the response to the caller.
    """

    outcome = "unknown"
    http_status = 502


class CallNotRunError(CallError):
    """Base class of errors that prove that the request did not run."""

    outcome = "not-run"
    http_status = 503


@register_error("call.no-route")
class NoRouteError(CallNotRunError):
    """No route matches the request."""

    http_status = 404


@register_error("call.unknown-key")
class UnknownKeyError(CallNotRunError):
    """The request has no key of a workspace although its route needs one.

    Also if it has one that is in no workspace of the configuration in force.
    """

    http_status = 401


@register_error("call.bad-request")
class BadCallError(CallNotRunError):
    """A request header has an invalid value, or the body is incomplete."""

    http_status = 400


@register_error("call.request-too-large")
class RequestTooLargeError(CallNotRunError):
    """The request body exceeds the limit of the service."""

    http_status = 413


@register_error("call.body-not-carried")
class BodyNotCarriedError(CallNotRunError):
    """The request body is allowed, but exceeds what a message between nodes takes."""


@register_error("call.bodies-full")
class BodiesFullError(CallNotRunError):
    """The node holds too many large request bodies at the moment."""


@register_error("call.key-required")
class KeyRequiredError(CallNotRunError):
    """A non-repeatable request has no idempotency key."""

    http_status = 428


@register_error("call.not-ready")
class NotReadyError(CallNotRunError):
    """The node has no configuration in force yet."""


@register_error("call.below-floor")
class BelowFloorError(CallNotRunError):
    """The preset in force sheds calls of this criticality."""


@register_error("call.no-endpoint")
class NoEndpointError(CallNotRunError):
    """The service has no usable member."""


@register_error("call.wrong-service")
class WrongServiceError(CallNotRunError):
    """The upstream of the gateway runs a different service."""


@register_error("call.draining")
class DrainingError(CallNotRunError):
    """The gateway accepts no new calls, since its node or upstream is stopping."""


@register_error("call.queue-full")
class QueueFullError(CallNotRunError):
    """The gateway's queue is full, or a more critical call took the place in it."""


@register_error("call.deadline-unreachable")
class DeadlineUnreachableError(CallNotRunError):
    """The call was not sent, since it would not complete before its deadline."""

    http_status = 504


@register_error("call.cancelled")
class CallCancelledError(CallNotRunError):
    """The caller disconnected before the request was sent."""

    http_status = 499


@register_error("call.quarantined")
class QuarantinedError(CallNotRunError):
    """Equal requests crashed several upstreams and are refused for some minutes."""

    http_status = 422


@register_error("call.over-allowance")
class OverAllowanceError(CallNotRunError):
    """The workspace of the caller has sent as many requests as it may."""

    http_status = 429


@register_error("call.allowance-unknown")
class AllowanceUnknownError(CallNotRunError):
    """No node that knows how much the workspace may still send has answered in time."""


@register_error("call.claim-refused")
class ClaimRefusedError(CallNotRunError):
    """The owner of the idempotency key may not claim it now."""


@register_error("call.peer-unreachable")
class PeerUnreachableError(CallNotRunError):
    """No link to the gateway could be opened; nothing was sent."""


@register_error("call.link-opening")
class LinkOpeningError(CallNotRunError):
    """The link to the gateway was not open yet; nothing was sent."""


@register_error("call.upstream-unreachable")
class UpstreamUnreachableError(CallNotRunError):
    """No connection to the upstream could be opened; nothing was sent."""


@register_error("call.upstream-shed")
class UpstreamShedError(CallNotRunError):
    """The upstream reported that it did not run the request."""


@register_error("call.peer-lost")
class PeerLostError(CallError):
    """The link to the gateway was closed after the request was sent."""


@register_error("call.upstream-lost")
class UpstreamLostError(CallError):
    """The upstream closed the connection before its response was complete."""


@register_error("call.bad-response")
class BadResponseError(CallError):
    """The response is not valid HTTP, is too large, or its end cannot be verified."""


@register_error("call.timeout")
class CallTimeoutError(CallError):
    """The deadline expired after the request was sent."""

    http_status = 504


@register_error("call.in-progress")
class CallInProgressError(CallError):
    """An earlier request with the same idempotency key is still running."""

    http_status = 409


@register_error("call.claim-unknown")
class ClaimUnknownError(CallError):
    """A request with this key may have run before; its response is not known."""

    http_status = 409


# Distribution of configuration


@register_error("dist.invariant")
class InvariantError(VerbenawickError):
    """A change was rejected because it would violate an invariant."""


# Status


@register_error("status.invalid")
class StatusError(VerbenawickError):
    """A region's status object cannot be decoded."""
