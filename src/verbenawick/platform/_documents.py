"""Decoders of the platform's configuration document and status reports."""

from hashlib import blake2b
from typing import TypeVar

import msgspec

from verbenawick.mesh._model import (
    MeshConfiguration,
    MeshRoute,
    RequestLimits,
    RouteTarget,
    ServiceSpec,
    StatusReport,
)
from verbenawick.mesh._record_check import MAX_INTEGER, MAX_SLOTS
from verbenawick.platform._json import decode_json
from verbenawick.workspaces._model import (
    Workspace,
    WorkspaceKeys,
    check_workspace,
    digest_key,
    index_workspaces,
    parse_key_digest,
)

_IDEMPOTENT_REQUEST_KIND = "safe"
_WORKSPACE_TYPE = "tenants"
_KEYS_FIELD = "api_keys"
_KEY_DIGESTS_FIELD = "verbenawick_key_digests"
_SPEC_DIGEST_BYTES = 16
# Values of routes that are kept to be shared: hosts, targets and times.
MAX_SHARED_VALUES = 4096

_Decoded = MeshRoute | ServiceSpec | RequestLimits | WorkspaceKeys | None


class _ResourceMetadata(msgspec.Struct):
    name: str = ""


class _Resource(msgspec.Struct):
    """A resource; `resource_type` determines how to decode `spec`."""

    resource_type: str
    metadata: _ResourceMetadata
    spec: msgspec.Raw


class _Document(msgspec.Struct):
    version: int
    resources: list[_Resource]


class _WeightedTarget(msgspec.Struct):
    service: str
    weight: float


class _RouteSpec(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str | None = None
    weighted_split: list[_WeightedTarget] | None = None
    target_latency_ms: float | None = None
    max_attempts: int = 1
    priority: int = 0
    allow_anonymous: bool = False


class _WorkspaceSpec(msgspec.Struct):
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    # In documents for other nodes, in place of the keys; see `hide_keys`.
    verbenawick_key_digests: list[str] = msgspec.field(default_factory=list)


class _ServiceSpec(msgspec.Struct):
    health_path: str = "/health"
    max_connections: int = 64


class _LimitsSpec(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Report(msgspec.Struct):
    service: str
    address: str
    # Not used, but a report without them comes from another writer.
    zone: str
    version: str
    slots: int
    state: str
    sequence: int
    cold_left_ms: float = 0.0
    born: int = 0


_T = TypeVar("_T")
_shared_values: dict = {}

_document_decoder = msgspec.json.Decoder(_Document)
_route_decoder = msgspec.json.Decoder(_RouteSpec)
_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_keys_decoder = msgspec.json.Decoder(list[str])
_workspace_decoder = msgspec.json.Decoder(_WorkspaceSpec)
_service_decoder = msgspec.json.Decoder(_ServiceSpec)
_limits_decoder = msgspec.json.Decoder(_LimitsSpec)
_report_decoder = msgspec.json.Decoder(_Report)

_DRAINING_BY_STATE = {"ready": False, "draining": True}


class ConfigurationDecoder:
    """Decodes successive documents; only resources that changed are decoded again."""

    def __init__(self):
        self._decoded_by_resource: dict[tuple[str, str, bytes], _Decoded] = {}

    def decode(self, data: bytes, revision: int) -> MeshConfiguration:
        """Return the configuration in an encoded document.

        Raises
        ------
        msgspec.MsgspecError, ValueError
            The document is not a valid configuration.
        """
        document = decode_json(data, _document_decoder)
        known = self._decoded_by_resource
        decoded_by_resource = {}
        routes = []
        services = {}
        limits = RequestLimits()
        workspaces = []
        for resource in document.resources:
            key = (resource.resource_type, resource.metadata.name, _spec_key(resource))
            value = known.get(key)
            if value is None:
                value = _decode_resource(resource)
            decoded_by_resource[key] = value
            if isinstance(value, MeshRoute):
                routes.append(value)
            elif isinstance(value, ServiceSpec):
                services[value.name] = value
            elif isinstance(value, RequestLimits):
                limits = value
            elif isinstance(value, WorkspaceKeys):
                workspaces.append(value)
        configuration = MeshConfiguration(
            document.version,
            revision,
            tuple(routes),
            services,
            limits,
            index_workspaces(workspaces) if workspaces else None,
        )
        self._decoded_by_resource = decoded_by_resource
        return configuration


def decode_configuration(data: bytes, revision: int) -> MeshConfiguration:
    """Return the configuration in a document; see `ConfigurationDecoder.decode`."""
    return ConfigurationDecoder().decode(data, revision)


def hide_keys(data: bytes) -> bytes:
    """Return a document in which digests replace the keys of workspaces.

    Nodes pass documents on in this form. A document that is invalid or has no keys is
    returned as it is.
    """
    if _WORKSPACE_TYPE.encode() not in data:
        return data
    try:
        document = decode_json(data, _document_decoder)
        parts = []
        end = 0
        for resource in document.resources:
            spec = bytes(resource.spec)
            hidden = spec
            if resource.resource_type == _WORKSPACE_TYPE:
                hidden = _hide_keys_of_spec(spec)
            if hidden != spec:
                start = data.index(spec, end)
                parts += [data[end:start], hidden]
                end = start + len(spec)
    except (msgspec.MsgspecError, ValueError):
        return data
    return b"".join((*parts, data[end:]))


def _hide_keys_of_spec(spec: bytes) -> bytes:
    fields = _fields_decoder.decode(spec)
    keys = fields.pop(_KEYS_FIELD, None)
    if keys is None:
        return spec
    digests = [digest_key(key).hex() for key in _keys_decoder.decode(keys)]
    fields[_KEY_DIGESTS_FIELD] = msgspec.Raw(msgspec.json.encode(digests))
    return msgspec.json.encode(fields)


def _spec_key(resource: _Resource) -> bytes:
    """Return what tells the spec of a resource from others; it holds no key."""
    return blake2b(resource.spec, digest_size=_SPEC_DIGEST_BYTES).digest()


def _decode_resource(resource: _Resource) -> _Decoded:
    """Return the decoded resource, None if its type is not known."""
    name = resource.metadata.name
    if resource.resource_type == "routes":
        return _decode_route(name, resource.spec)
    if resource.resource_type == "services":
        spec = decode_json(resource.spec, _service_decoder)
        return ServiceSpec(name, spec.health_path, spec.max_connections)
    if resource.resource_type == _WORKSPACE_TYPE:
        return _decode_workspace(name, resource.spec)
    if resource.resource_type == "limits":
        spec = decode_json(resource.spec, _limits_decoder)
        return RequestLimits(
            spec.max_header_bytes,
            spec.max_body_bytes,
            spec.header_timeout_ms / 1000,
            spec.idle_timeout_ms / 1000,
        )
    return None


def _decode_route(name: str, data: msgspec.Raw) -> MeshRoute:
    spec = decode_json(data, _route_decoder)
    if spec.weighted_split:
        targets = tuple(RouteTarget(p.service, p.weight) for p in spec.weighted_split)
    elif spec.service:
        targets = (RouteTarget(spec.service, 1.0),)
    else:
        raise ValueError(f"route {name} has no service")
    targets = _share(targets)
    timeout_s = _share(spec.timeout_ms / 1000)
    objective_s = _share((spec.target_latency_ms or spec.timeout_ms) / 1000)
    return MeshRoute(
        name,
        _share(spec.host),
        spec.path_prefix,
        targets,
        spec.kind == _IDEMPOTENT_REQUEST_KIND,
        timeout_s,
        objective_s,
        spec.priority,
        spec.max_attempts,
        spec.allow_anonymous,
    )


def _share(value: _T) -> _T:
    """Return an equal value that other routes hold, which saves half of their memory.

    The values that have been shared are forgotten when they become many.
    """
    if len(_shared_values) >= MAX_SHARED_VALUES:
        _shared_values.clear()
    return _shared_values.setdefault(value, value)


def _decode_workspace(name: str, data: msgspec.Raw) -> WorkspaceKeys:
    try:
        spec = decode_json(data, _workspace_decoder)
        workspace = Workspace(name, spec.priority, spec.rate_per_s, spec.burst)
        check_workspace(workspace)
        key_digests = set(map(parse_key_digest, spec.verbenawick_key_digests))
    except (msgspec.MsgspecError, ValueError) as error:
        raise ValueError(f"workspace {name!r}: {error}") from None
    digests = {digest_key(key) for key in spec.api_keys}
    return WorkspaceKeys(workspace, frozenset(digests | key_digests))


def decode_report(upstream_id: str, data: bytes) -> StatusReport:
    """Return the status report in a request body.

    Raises
    ------
    msgspec.MsgspecError, ValueError
        A field is missing or has a wrong type or value.
    """
    report = decode_json(data, _report_decoder)
    is_draining = _DRAINING_BY_STATE.get(report.state)
    if is_draining is None:
        raise ValueError(f"unknown state {report.state!r}")
    if not report.service or not 1 <= report.slots <= MAX_SLOTS:
        raise ValueError(f"service is empty, or slots not between 1 and {MAX_SLOTS}")
    if max(report.sequence, report.born) > MAX_INTEGER:
        raise ValueError("sequence or born is out of range")
    return StatusReport(
        upstream_id,
        report.service,
        report.address,
        report.slots,
        is_draining,
        max(report.cold_left_ms, 0.0) / 1000,
        report.sequence,
        report.born,
        report.version,
    )
