"""Where the entry of this node would send a call now, and why, without sending it.

The steps that a call takes are registered by name; each adds what it found, or refuses.
"""

from collections.abc import Callable
from dataclasses import asdict, dataclass, field

from verbenawick.errors import (
    CallNotRunError,
    DrainingError,
    NoEndpointError,
    NoRouteError,
    NotReadyError,
)
from verbenawick.links._call_links import CallLinks
from verbenawick.mesh._endpoints import Endpoint, Endpoints
from verbenawick.mesh._model import MeshConfiguration, MeshRoute, UpstreamState
from verbenawick.mesh._placement import Distance, expected_cost, late_cost_of
from verbenawick.mesh._route_index import RouteIndex
from verbenawick.mesh._standing_links import StandingLinks
from verbenawick.workspaces._authentication import find_workspace
from verbenawick.workspaces._model import Workspace


@dataclass(frozen=True, slots=True)
class GatewayPreview:
    """A gateway that could run the call.

    Attributes
    ----------
    passed_over : str
        Why it would not be chosen; empty for the one that would.
    calls, slots : float, int
        Calls expected to run or wait there, and how many its upstream takes at once.
    expected_s : float
        Expected time until the response, with the network.
    cost : float
        Expected cost as a fraction of the value of the call; the lowest is chosen,
        apart from a small random part that breaks ties.
    """

    node_id: str
    distance: str
    passed_over: str = ""
    expected_s: float = 0.0
    failure_rate: float = 0.0
    calls: float = 0.0
    slots: int = 0
    cost: float = 0.0


@dataclass(slots=True)
class PreviewedCall:
    """A call whose way is previewed, and what the steps have found."""

    host: str
    path: str
    key_digest: bytes | None
    configuration: MeshConfiguration | None = None
    route: MeshRoute | None = None
    workspace: Workspace | None = None
    findings: dict[str, object] = field(default_factory=dict)


class GatewayView:
    """What this node knows of the gateways.

    Parameters
    ----------
    is_stopping : callable
        Returns whether the node is stopping.
    configuration : callable
        Returns the configuration in force.
    """

    def __init__(
        self,
        *,
        endpoints: Endpoints,
        links: CallLinks,
        standing_links: StandingLinks,
        configuration: Callable[[], MeshConfiguration | None],
        is_stopping: Callable[[], bool],
    ):
        self.configuration = configuration
        self.is_stopping = is_stopping
        self._endpoints = endpoints
        self._links = links
        self._standing_links = standing_links

    def gateways(
        self, route: MeshRoute, service: str, now: float
    ) -> list[GatewayPreview]:
        """Return the gateways of a service, the one that would be chosen first."""
        endpoints = self._endpoints.of_service(service)
        reasons = {endpoint.node_id: self._reason(endpoint) for endpoint in endpoints}
        usable = [e for e in endpoints if not reasons[e.node_id]]
        if any(endpoint.avoided_until <= now for endpoint in usable):
            for endpoint in usable:
                if endpoint.avoided_until > now:
                    reasons[endpoint.node_id] = "refused or was unreachable just now"
        previews = [
            self._preview(endpoint, route, now, reasons[endpoint.node_id])
            for endpoint in endpoints
        ]
        previews.sort(key=lambda preview: (bool(preview.passed_over), preview.cost))
        # All but the first usable one cost more.
        return previews[:1] + [_pass_over(preview) for preview in previews[1:]]

    def _reason(self, endpoint: Endpoint) -> str:
        if endpoint.state is not UpstreamState.READY:
            return f"its upstream is {endpoint.state}"
        if self._is_linked(endpoint):
            is_silent = self._links.is_silent(endpoint.peer_address)
            return "it does not respond" if is_silent else ""
        return "" if self._standing_links.may_open(endpoint) else "it has no link"

    def _is_linked(self, endpoint: Endpoint) -> bool:
        return endpoint.distance is Distance.OWN_NODE or self._links.is_connected(
            endpoint.member
        )

    def _preview(
        self, endpoint: Endpoint, route: MeshRoute, now: float, reason: str
    ) -> GatewayPreview:
        candidate = self._endpoints.candidate(
            endpoint, route.name, now, is_linked=self._is_linked(endpoint)
        )
        cost = expected_cost(
            candidate,
            objective_s=route.objective_s,
            left_s=route.timeout_s,
            kilobytes=self._endpoints.kilobytes(route.name),
            late_cost=late_cost_of(route.objective_s),
        )
        return GatewayPreview(
            endpoint.node_id,
            endpoint.distance.name.lower().replace("_", " "),
            reason,
            round(candidate.completion_s, 4),
            round(candidate.failure_rate, 4),
            round(self._endpoints.expected_calls(endpoint, now), 1),
            endpoint.estimate.slots,
            round(cost, 4),
        )


def _pass_over(preview: GatewayPreview) -> GatewayPreview:
    if preview.passed_over:
        return preview
    return GatewayPreview(**{**asdict(preview), "passed_over": "it costs more"})


Step = Callable[[PreviewedCall, GatewayView, float], object]

steps_by_name: dict[str, Step] = {}


def register_step(name: str) -> Callable[[Step], Step]:
    """Return a decorator that registers a step, which runs after those before it.

    A step returns what it found, in types of JSON, or raises `CallNotRunError`.
    """

    def decorate(step: Step) -> Step:
        steps_by_name[name] = step
        return step

    return decorate


@register_step("configuration")
def _find_configuration(call: PreviewedCall, view: GatewayView, now: float) -> object:
    call.configuration = view.configuration()
    if call.configuration is None:
        raise NotReadyError("the node has no configuration yet", step="preview")
    if view.is_stopping():
        raise DrainingError("the node is stopping", step="preview")
    return {"version": call.configuration.version}


@register_step("route")
def _find_route(call: PreviewedCall, view: GatewayView, now: float) -> object:
    call.route = route = RouteIndex(call.configuration).match(call.host, call.path)
    if route is None:
        hosts = {known.host.lower() for known in call.configuration.routes}
        is_known = call.host.lower() in hosts
        raise NoRouteError(
            f"no route of host {call.host!r} has a prefix of {call.path!r}"
            if is_known
            else f"no route has the host {call.host!r}",
            step="preview",
        )
    return {
        "name": route.name,
        "host": route.host,
        "path_prefix": route.path_prefix,
        "is_idempotent": route.is_idempotent,
        "is_anonymous": route.is_anonymous,
        "timeout_s": route.timeout_s,
        "objective_s": route.objective_s,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
    }


@register_step("workspace")
def _find_workspace(call: PreviewedCall, view: GatewayView, now: float) -> object:
    workspaces = call.configuration.workspaces
    if workspaces is None:
        return None
    is_anonymous = call.route.is_anonymous
    call.workspace = workspace = find_workspace(
        workspaces, call.key_digest, is_anonymous=is_anonymous
    )
    return None if workspace is None else asdict(workspace)


@register_step("services")
def _find_gateways(call: PreviewedCall, view: GatewayView, now: float) -> object:
    total = sum(target.weight for target in call.route.targets)
    services = []
    for target in call.route.targets:
        gateways = view.gateways(call.route, target.service, now)
        services.append(
            {
                "service": target.service,
                "share": round(target.weight / total, 4) if total else 0.0,
                "gateways": [asdict(gateway) for gateway in gateways],
            }
        )
    call.findings["services"] = services
    without = [
        service["service"]
        for service in services
        if all(gateway["passed_over"] for gateway in service["gateways"])
    ]
    if without:
        raise NoEndpointError(
            f"no gateway can run calls of {', '.join(without)}", step="preview"
        )
    return services


def preview_call(call: PreviewedCall, view: GatewayView, now: float) -> dict:
    """Return what the steps find for `call`, up to the one that refuses it.

    Returns
    -------
    dict
        ``refusal`` has the code, the status and the reason, None if the call would be
        sent; the other entries are the findings by step.
    """
    refusal = None
    for name, step in steps_by_name.items():
        try:
            call.findings[name] = step(call, view, now)
        except CallNotRunError as error:
            refusal = {
                "step": name,
                "code": error.code,
                "status": error.http_status,
                "reason": error.message,
            }
            break
    return {"refusal": refusal, **call.findings}
