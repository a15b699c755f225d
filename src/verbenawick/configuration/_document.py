"""Configuration document: pydantic models and rules that span several entities.

`parse_document` rejects an invalid document as a whole and reports its problems, each
with a path and a fix. Acceptance and nodes use the same function.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from itertools import combinations
from pathlib import Path
from typing import Annotated, Any, Literal

import json5
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    create_model,
)

from verbenawick.errors import DocumentError
from verbenawick.settings._settings import Identifier

PRESET_IDS = ("ordinary", "peak", "maintenance")
# Claims of a terminated node are released 30 s after its departure (the default of
# TimingSettings.longest_call_s), so no call may take longer.
MAX_CALL_DURATION_S = 30.0
# Leaves room for headers, since a message between nodes is limited to 8 MiB.
MAX_BODY_BYTES = 6 * 1024 * 1024
MAX_ENTITIES = 10_000
MAX_REPORTED_PROBLEMS = 20

Method = Literal["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"]
CriticalityName = Literal["low", "normal", "high"]
Seconds = Annotated[float, Field(strict=True, gt=0, le=MAX_CALL_DURATION_S)]


def _sorted_methods(methods: tuple[Method, ...]) -> tuple[Method, ...]:
    if len(set(methods)) != len(methods):
        raise ValueError("a method is listed twice; list each method once")
    return tuple(sorted(methods))


Methods = Annotated[tuple[Method, ...], AfterValidator(_sorted_methods)]


def _check_path_prefix(value: str) -> str:
    segments = value.split("/")
    if segments[0] or any(part in ("", ".", "..") for part in segments[1:-1]):
        raise ValueError("use an absolute path without '//', '.' and '..'")
    return value


PathPrefix = Annotated[
    str,
    Field(pattern=r"^/[^\s?#]*$", max_length=1024),
    AfterValidator(_check_path_prefix),
]
Host = Annotated[str, Field(pattern=r"^[a-z0-9.:-]*$", max_length=253)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Policy(_Model):
    """Call policy of a service; see `ServicePolicy` for the fields."""

    timeout_s: Seconds = 5.0
    max_attempts: Annotated[int, Field(strict=True, ge=1, le=10)] = 3
    retry_budget: Annotated[float, Field(strict=True, ge=0, le=1)] = 0.1
    repeatable_methods: Methods = ("GET", "HEAD", "OPTIONS")
    key_required: Annotated[bool, Field(strict=True)] = True
    criticality: CriticalityName = "normal"
    max_queue_length: Annotated[int, Field(strict=True, ge=0, le=10_000)] = 24
    max_queue_s: Annotated[float, Field(strict=True, ge=0, le=MAX_CALL_DURATION_S)] = (
        0.25
    )
    max_body_bytes: Annotated[int, Field(strict=True, ge=1, le=MAX_BODY_BYTES)] = (
        4 * 1024 * 1024
    )


# All fields of `Policy`, but optional.
PolicyOverride = create_model(
    "PolicyOverride",
    __base__=_Model,
    **{name: (kind, None) for name, kind in Policy.__annotations__.items()},
)


class Service(_Model):
    """A service; its upstreams register themselves under its id."""

    policy: Identifier


class RouteMatch(_Model):
    """Requests matched by a route; an empty `methods` or `host` matches any."""

    path_prefix: PathPrefix
    methods: Methods = ()
    host: Host = ""


class DocumentRoute(_Model):
    """A route to a service."""

    match: RouteMatch
    service: Identifier


class Preset(_Model):
    """Policy overrides, and the criticality below which calls are refused."""

    criticality_floor: CriticalityName = "low"
    policies_by_id: dict[Identifier, PolicyOverride] = Field(
        default_factory=dict, max_length=MAX_ENTITIES
    )


class ConfigurationDocument(_Model):
    """The whole configuration of a mesh."""

    services_by_id: dict[Identifier, Service] = Field(
        min_length=1, max_length=MAX_ENTITIES
    )
    policies_by_id: dict[Identifier, Policy] = Field(max_length=MAX_ENTITIES)
    routes_by_id: dict[Identifier, DocumentRoute] = Field(
        min_length=1, max_length=MAX_ENTITIES
    )
    presets_by_id: dict[str, Preset]
    preset_in_force: str

    def content(self) -> dict[str, Any]:
        """Return the document as plain data, including all default values.

        Versions are stored in this form, so that other defaults in a later release do
        not change a version that is in force.
        """
        return self.model_dump(mode="json", exclude_none=True)


@dataclass(frozen=True, slots=True)
class Problem:
    """A violated rule, with its path, the reason and a fix."""

    path: str
    reason: str
    fix: str

    def __str__(self) -> str:
        """Return a line for operators."""
        return f"{self.path}: {self.reason}; {self.fix}"


class _ParsedObject(dict):
    """Parsed JSON object that records repeated keys."""

    repeated_keys: tuple[str, ...] = ()


def effective_policy(
    document: ConfigurationDocument, policy_id: str, preset_id: str
) -> Policy:
    """Return a policy with the overrides of a preset applied."""
    policy = document.policies_by_id[policy_id]
    override = document.presets_by_id[preset_id].policies_by_id.get(policy_id)
    if override is None:
        return policy
    return policy.model_copy(update=override.model_dump(exclude_none=True))


def parse_document(content: object) -> ConfigurationDocument:
    """Validate plain data and return the document.

    Raises
    ------
    DocumentError
        At least one rule is violated. The message lists the problems (at most 20) with
        their paths and fixes; `path` is that of the first problem.
    """
    problems = list(_find_repeated_keys(content, ""))
    if problems:
        raise _document_error(problems)
    try:
        document = ConfigurationDocument.model_validate(content)
    except ValidationError as error:
        raise _document_error([_describe(item) for item in error.errors()]) from error
    problems = list(_find_problems(document))
    if problems:
        raise _document_error(problems)
    return document


def load_document(path: Path) -> ConfigurationDocument:
    """Load and validate a document from a JSON file, which may contain comments.

    Raises
    ------
    DocumentError
        The file is unreadable, is not JSON, or violates a rule.
    """
    try:
        content = _parse_json(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise DocumentError(
            f"{path} cannot be read: {error}", step="document.read"
        ) from error
    return parse_document(content)


def _parse_json(text: str) -> object:
    try:
        return json.loads(text, object_pairs_hook=_object_from_pairs)
    except ValueError:
        # json5 is slow (0.4 s for 52 KB) and only needed for files with comments.
        return json5.loads(text, object_pairs_hook=_object_from_pairs)


def _object_from_pairs(pairs: list[tuple[str, object]]) -> _ParsedObject:
    result = _ParsedObject(pairs)
    if len(result) != len(pairs):
        keys = [key for key, _ in pairs]
        result.repeated_keys = tuple(key for key in result if keys.count(key) > 1)
    return result


def _find_repeated_keys(value: object, path: str) -> Iterator[Problem]:
    if isinstance(value, list):
        value = dict(enumerate(value))
    if not isinstance(value, dict):
        return
    for key in getattr(value, "repeated_keys", ()):
        yield Problem(f"{path}{key}", "is repeated", "remove or rename one of them")
    for key, item in value.items():
        yield from _find_repeated_keys(item, f"{path}{key}.")


def _document_error(problems: list[Problem]) -> DocumentError:
    lines = [str(problem) for problem in problems[:MAX_REPORTED_PROBLEMS]]
    if len(problems) > len(lines):
        lines.append(f"and {len(problems) - len(lines)} more problems")
    return DocumentError(
        "\n".join(lines), path=problems[0].path, step="document.validate"
    )


def _describe(error: dict) -> Problem:
    path = ".".join(str(part) for part in error["loc"]) or "(top)"
    reason = error["msg"].removeprefix("Value error, ")
    if error["type"] == "extra_forbidden":
        known = _known_keys(error["loc"])
        close = get_close_matches(str(error["loc"][-1]), known, n=1)
        hint = f"use {close[0]!r}" if close else f"use one of {', '.join(known)}"
        return Problem(path, "unknown key", f"remove it or {hint}")
    if error["type"] == "missing":
        return Problem(path, "is missing", "add it")
    if error["type"] == "string_pattern_mismatch":
        pattern = error["ctx"]["pattern"]
        return Problem(path, f"{error['input']!r} is invalid", f"match {pattern}")
    if error["type"] == "value_error":
        return Problem(path, f"{error['input']!r} is invalid", reason)
    shown = repr(error["input"])[:80]
    return Problem(path, f"{shown} is invalid", f"correct the value: {reason}")


_MODELS_BY_PATH: dict[tuple[str, ...], type[BaseModel]] = {
    (): ConfigurationDocument,
    ("services_by_id", "*"): Service,
    ("policies_by_id", "*"): Policy,
    ("routes_by_id", "*"): DocumentRoute,
    ("routes_by_id", "*", "match"): RouteMatch,
    ("presets_by_id", "*"): Preset,
    ("presets_by_id", "*", "policies_by_id", "*"): PolicyOverride,
}


def _known_keys(location: tuple) -> list[str]:
    parents = tuple(
        part if position % 2 == 0 else "*"
        for position, part in enumerate(location[:-1])
    )
    return sorted(_MODELS_BY_PATH[parents].model_fields)


def _find_problems(document: ConfigurationDocument) -> Iterator[Problem]:
    yield from _check_references(document)
    yield from _check_route_matches(document)
    missing = [name for name in PRESET_IDS if name not in document.presets_by_id]
    yield from _check_presets(document, missing)
    if not missing:
        yield from _check_effective_policies(document)


def _dangling_reference(path: str, kind: str, wanted: str, known: dict) -> Problem:
    close = get_close_matches(wanted, known, n=1)
    hint = f"use {close[0]!r} or " if close else ""
    collection = {"service": "services_by_id", "policy": "policies_by_id"}[kind]
    return Problem(
        path, f"{kind} {wanted!r} does not exist", f"{hint}add it to {collection}"
    )


def _check_references(document: ConfigurationDocument) -> Iterator[Problem]:
    services, policies = document.services_by_id, document.policies_by_id
    for route_id, route in document.routes_by_id.items():
        if route.service not in services:
            path = f"routes_by_id.{route_id}.service"
            yield _dangling_reference(path, "service", route.service, services)
    for service_id, service in services.items():
        if service.policy not in policies:
            path = f"services_by_id.{service_id}.policy"
            yield _dangling_reference(path, "policy", service.policy, policies)
    for preset_id, preset in document.presets_by_id.items():
        for policy_id in preset.policies_by_id:
            if policy_id not in policies:
                path = f"presets_by_id.{preset_id}.policies_by_id.{policy_id}"
                yield _dangling_reference(path, "policy", policy_id, policies)


def _check_route_matches(document: ConfigurationDocument) -> Iterator[Problem]:
    routes_by_host_and_prefix: dict[tuple[str, str], list[tuple[str, frozenset]]] = {}
    for route_id, route in document.routes_by_id.items():
        host_and_prefix = (route.match.host, route.match.path_prefix.rstrip("/"))
        methods = frozenset(route.match.methods)
        routes_by_host_and_prefix.setdefault(host_and_prefix, []).append(
            (route_id, methods)
        )
    for routes in routes_by_host_and_prefix.values():
        for (first, methods), (second, others) in combinations(routes, 2):
            # A route with methods takes precedence over one without, so these two do
            # not conflict.
            if methods & others or not (methods or others):
                yield Problem(
                    f"routes_by_id.{second}.match",
                    f"matches the same requests as route {first!r}",
                    "change the path, the host or the methods of one of them",
                )


def _check_presets(
    document: ConfigurationDocument, missing: list[str]
) -> Iterator[Problem]:
    for name in missing:
        yield Problem(f"presets_by_id.{name}", "is missing", "add it; {} is sufficient")
    for name in document.presets_by_id:
        if name not in PRESET_IDS:
            fix = f"remove it; the presets are {', '.join(PRESET_IDS)}"
            yield Problem(f"presets_by_id.{name}", "unknown preset", fix)
    if document.preset_in_force not in PRESET_IDS:
        yield Problem(
            "preset_in_force",
            f"{document.preset_in_force!r} is not a preset",
            f"use one of {', '.join(PRESET_IDS)}",
        )


def _check_effective_policies(document: ConfigurationDocument) -> Iterator[Problem]:
    for preset_id in PRESET_IDS:
        for policy_id in document.policies_by_id:
            policy = effective_policy(document, policy_id, preset_id)
            if policy.max_queue_s <= policy.timeout_s:
                continue
            yield Problem(
                f"policies_by_id.{policy_id}.max_queue_s",
                f"{policy.max_queue_s} s exceeds the timeout of "
                f"{policy.timeout_s} s under preset {preset_id!r}",
                "lower max_queue_s or raise timeout_s",
            )
