"""Staged and in-force configuration versions of one node, and their invariants."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from verbenawick.calls._table import RoutingTable
from verbenawick.errors import (
    BaseMismatchError,
    DigestMismatchError,
    DocumentError,
    InvariantError,
    OlderVersionError,
    VerbenawickError,
)
from verbenawick.runtime._events import Event, emit, register_event

PRESET_IDS = frozenset({"ordinary", "peak", "maintenance"})

# Limits how many versions can be staged ahead of the last commit during a burst of
# changes. Beyond the limit the lowest staged version is dropped; the commit of a
# higher version supersedes it.
MAX_STAGED_VERSIONS = 8
MAX_REFUSALS = 16


@register_event(350)
@dataclass(frozen=True, slots=True)
class VersionInForce(Event):
    """A version was put in force on this node."""

    version: int
    previous_version: int
    preset: str


@register_event(351, level="ERROR")
@dataclass(frozen=True, slots=True)
class VersionRefused(Event):
    """A version failed verification or compilation; the current one stays in force."""

    version: int
    code: str
    reason: str


@register_event(352, level="ERROR")
@dataclass(frozen=True, slots=True)
class InvariantViolated(Event):
    """A change was rejected because it would violate a design invariant."""

    invariant: int
    version: int
    reason: str


@register_event(353, level="WARNING")
@dataclass(frozen=True, slots=True)
class RoutesWithheld(Event):
    """Routes are not served until their service has a known endpoint."""

    version: int
    route_ids: tuple[str, ...]


class EventRecorder(Protocol):
    """Callable that records an event with its cause; see `DecisionRecord.add`."""

    def __call__(self, event: Event, *, cause: str, version: int) -> None:
        """Log the event and add it to the decision record, if there is one."""
        ...


def log_event(event: Event, *, cause: str, version: int) -> None:
    """Log an event without adding it to a decision record."""
    emit(event)


@dataclass(frozen=True, slots=True)
class VersionRef:
    """Version number and digest of a document; version 0 means no version."""

    version: int = 0
    digest: bytes = b""


NO_VERSION = VersionRef()


class DocumentCodec(Protocol):
    """Document operations required by a node; documents are opaque to this module."""

    def apply_delta(self, document: Any, delta: bytes) -> Any:
        """Return the document with a delta applied.

        Raises
        ------
        BaseMismatchError
            The delta does not apply to `document`.
        """
        ...

    def digest_of(self, document: Any) -> bytes:
        """Return the digest of a document."""
        ...

    def compile(self, document: Any, *, version: int, digest: bytes) -> RoutingTable:
        """Return the routing table of a document.

        Raises
        ------
        DocumentError
            The document cannot be compiled.
        """
        ...

    def encode_snapshot(self, document: Any) -> bytes:
        """Return a document encoded as a snapshot."""
        ...

    def decode_snapshot(self, data: bytes, digest: bytes) -> Any:
        """Return the document encoded in a snapshot.

        Raises
        ------
        DigestMismatchError
            The digest of the document is not `digest`.
        DocumentError
            `data` is corrupt.
        """
        ...


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """A verified and compiled version."""

    ref: VersionRef
    document: Any
    table: RoutingTable


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a version was refused."""

    ref: VersionRef
    code: str
    reason: str


class ConfigState:
    """Configuration versions of one node.

    `in_force` is replaced by a single assignment, so a call that reads it once uses
    one version consistently. The floor is the highest version that a previous process
    of this node may have served; no version is put in force until it is known.

    Attributes
    ----------
    record_event : EventRecorder
        Called with each event and its cause.
    """

    def __init__(self, codec: DocumentCodec):
        self.record_event: EventRecorder = log_event
        self.in_force: HeldVersion | None = None
        self.floor: int | None = None
        self._codec = codec
        self._staged_by_version: dict[int, HeldVersion] = {}
        self._refusals_by_version: OrderedDict[int, Refusal] = OrderedDict()

    @property
    def in_force_ref(self) -> VersionRef:
        """Version in force; version 0 if there is none."""
        return self.in_force.ref if self.in_force else NO_VERSION

    @property
    def held(self) -> HeldVersion | None:
        """Highest version that is staged or in force."""
        if self._staged_by_version:
            return self._staged_by_version[max(self._staged_by_version)]
        return self.in_force

    @property
    def held_ref(self) -> VersionRef:
        """Reference of `held`; version 0 if there is none."""
        return self.held.ref if self.held else NO_VERSION

    def is_held(self, ref: VersionRef) -> bool:
        """Return whether this version, with the same digest, is staged or in force."""
        return self._find_held(ref) is not None

    def refusal_of(self, ref: VersionRef) -> Refusal | None:
        """Return the refusal of a version, or None if it was not refused."""
        refusal = self._refusals_by_version.get(ref.version)
        return refusal if refusal and refusal.ref == ref else None

    def refusal_of_highest_version(self) -> Refusal | None:
        """Return the refusal of the highest refused version above `held`, if any."""
        refusals = [
            refusal
            for version, refusal in self._refusals_by_version.items()
            if version > self.held_ref.version
        ]
        return max(refusals, key=lambda refusal: refusal.ref.version, default=None)

    def stage_deltas(
        self, target: VersionRef, base: VersionRef, deltas: Sequence[bytes]
    ) -> HeldVersion:
        """Stage the version that results from applying `deltas` to a held base.

        Raises
        ------
        BaseMismatchError
            The base is not held; deltas on a held base or a snapshot are needed.
        DigestMismatchError
            The result does not match the digest of `target`; a snapshot is needed.
        DocumentError, InvariantError
            The version cannot be served and was recorded as refused.
        OlderVersionError
            A higher version is in force.
        """
        held = self._find_held(base)
        if held is None:
            raise BaseMismatchError(
                f"version {base.version} is not held", step="stage.base"
            )
        document = held.document
        try:
            for delta in deltas:
                document = self._codec.apply_delta(document, delta)
        except DocumentError as error:
            # A corrupt delta does not mean that the version itself is invalid.
            raise DigestMismatchError(error.message, step="stage.delta") from error
        return self._stage(target, document)

    def stage_snapshot(self, target: VersionRef, snapshot: bytes) -> HeldVersion:
        """Stage a version from a snapshot.

        Raises the same errors as `stage_deltas`, except `BaseMismatchError`.
        """
        try:
            document = self._codec.decode_snapshot(snapshot, target.digest)
        except DocumentError as error:
            self.refuse(target, error)
            raise
        return self._stage(target, document)

    def refuse(self, target: VersionRef, error: VerbenawickError) -> None:
        """Record a version as refused because of `error`."""
        if self.refusal_of(target) is None:
            event = VersionRefused(target.version, error.code, error.message)
            self.record_event(event, cause=error.step, version=target.version)
        self._refusals_by_version[target.version] = Refusal(
            target, error.code, error.message
        )
        while len(self._refusals_by_version) > MAX_REFUSALS:
            self._refusals_by_version.popitem(last=False)

    def commit(self, ref: VersionRef, *, cause: str = "") -> bool:
        """Put a staged version in force and return whether it is in force.

        Parameters
        ----------
        cause : str
            How the node learned that the version was committed.

        Raises
        ------
        OlderVersionError
            The version is below the floor or below the version in force.
        InvariantError
            The floor is not known, or another document with this version is in force.
        """
        if self.in_force_ref == ref:
            return True
        held = self._staged_by_version.get(ref.version)
        if held is None or held.ref != ref:
            return False
        self._put_in_force(held, cause)
        return True

    def raise_floor(self, version: int) -> None:
        """Raise the floor to `version`; a lower version has no effect."""
        self.floor = max(version, self.floor or 0)

    def encode_held(self) -> bytes:
        """Return a snapshot of the highest held version."""
        return self._codec.encode_snapshot(self.held.document)

    def _find_held(self, ref: VersionRef) -> HeldVersion | None:
        for held in (self._staged_by_version.get(ref.version), self.in_force):
            if held is not None and held.ref == ref:
                return held
        return None

    def _stage(self, target: VersionRef, document: Any) -> HeldVersion:
        if target.version < self.in_force_ref.version:
            raise OlderVersionError(
                f"version {target.version} is older than the version in force, "
                f"{self.in_force_ref.version}",
                step="stage.version",
            )
        digest = self._codec.digest_of(document)
        if digest != target.digest:
            raise DigestMismatchError(
                f"version {target.version} has digest {digest.hex()}, "
                f"expected {target.digest.hex()}",
                step="stage.digest",
            )
        try:
            table = self._codec.compile(
                document, version=target.version, digest=target.digest
            )
            self._check_invariants(table, target)
        except (DocumentError, InvariantError) as error:
            self.refuse(target, error)
            raise
        held = HeldVersion(target, document, table)
        self._staged_by_version[target.version] = held
        self._refusals_by_version.pop(target.version, None)
        if len(self._staged_by_version) > MAX_STAGED_VERSIONS:
            del self._staged_by_version[min(self._staged_by_version)]
        return held

    def _check_invariants(self, table: RoutingTable, target: VersionRef) -> None:
        if VersionRef(table.version, table.digest) != target:
            self._raise_invariant_error(
                3, target.version, f"the table was compiled for version {table.version}"
            )
        for route in table.routes:
            if route.service_id not in table.policies_by_service_id:
                reason = f"route {route.route_id} refers to {route.service_id}"
                self._raise_invariant_error(
                    2, target.version, f"{reason}, which the table does not contain"
                )
        if table.preset not in PRESET_IDS:
            self._raise_invariant_error(
                10, target.version, f"preset {table.preset!r} is unknown"
            )

    def _put_in_force(self, held: HeldVersion, cause: str) -> None:
        previous = self.in_force_ref
        if self.floor is None:
            self._raise_invariant_error(1, held.ref.version, "the floor is not known")
        min_version = max(self.floor, previous.version)
        if held.ref.version < min_version:
            reason = f"version {min_version} may have been served before"
            event = InvariantViolated(1, held.ref.version, reason)
            self.record_event(event, cause=cause, version=held.ref.version)
            raise OlderVersionError(reason, step="commit.version")
        if held.ref.version == previous.version:
            self._raise_invariant_error(
                3, held.ref.version, "another document with this version is in force"
            )
        self.in_force = held
        for version in [v for v in self._staged_by_version if v <= held.ref.version]:
            del self._staged_by_version[version]
        version = held.ref.version
        event = VersionInForce(version, previous.version, held.table.preset)
        self.record_event(event, cause=cause, version=version)

    def _raise_invariant_error(self, invariant: int, version: int, reason: str) -> None:
        event = InvariantViolated(invariant, version, reason)
        self.record_event(event, cause=reason, version=version)
        raise InvariantError(
            f"invariant {invariant}: {reason}", step="config-state.invariant"
        )


def withhold_routes(
    table: RoutingTable, known_service_ids: frozenset[str]
) -> tuple[RoutingTable, tuple[str, ...]]:
    """Return the table without routes to unknown services, and the ids of these."""
    withheld = tuple(
        route.route_id
        for route in table.routes
        if route.service_id not in known_service_ids
    )
    if not withheld:
        return table, ()
    routes = tuple(r for r in table.routes if r.service_id in known_service_ids)
    return replace(table, routes=routes), withheld
