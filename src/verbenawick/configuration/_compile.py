"""Compilation of a configuration document into the routing table of a node."""

from verbenawick.calls._table import Criticality, Route, RoutingTable, ServicePolicy
from verbenawick.configuration._document import (
    ConfigurationDocument,
    DocumentRoute,
    effective_policy,
)


def compile_document(
    document: ConfigurationDocument, version: int, digest: bytes
) -> RoutingTable:
    """Return the routing table of a validated document.

    Acceptance and nodes use the same function, so a document that cannot be compiled
    is rejected before it is accepted.

    Parameters
    ----------
    version : int
        Configuration version of the document.
    digest : bytes
        Digest of the document's content, as returned by `digest_of`.
    """
    preset_id = document.preset_in_force
    preset = document.presets_by_id[preset_id]
    routes = [_compile_route(*item) for item in document.routes_by_id.items()]
    return RoutingTable(
        version=version,
        digest=digest,
        preset=preset_id,
        criticality_floor=Criticality[preset.criticality_floor.upper()],
        routes=tuple(sorted(routes, key=_precedence)),
        policies_by_service_id={
            service_id: _compile_policy(document, service.policy)
            for service_id, service in document.services_by_id.items()
        },
    )


def _compile_route(route_id: str, route: DocumentRoute) -> Route:
    return Route(
        route_id=route_id,
        path_prefix=route.match.path_prefix,
        service_id=route.service,
        methods=frozenset(route.match.methods),
        host=route.match.host,
    )


def _precedence(route: Route) -> tuple:
    """Return the sort key: long prefixes, then hosts, then methods come first."""
    return (
        -len(route.path_prefix),
        not route.host,
        not route.methods,
        route.path_prefix,
        route.route_id,
    )


def _compile_policy(document: ConfigurationDocument, policy_id: str) -> ServicePolicy:
    policy = effective_policy(document, policy_id, document.preset_in_force)
    values = policy.model_dump()
    values["criticality"] = Criticality[policy.criticality.upper()]
    values["repeatable_methods"] = frozenset(policy.repeatable_methods)
    return ServicePolicy(policy_id=policy_id, **values)
