"""What a node stores, and tells other nodes, about its own upstream."""

from verbenawick.mesh._local_upstream import LocalUpstream, ReadyUpstream
from verbenawick.mesh._messages import GatewayNotice
from verbenawick.mesh._model import UpstreamRecord, UpstreamState
from verbenawick.mesh._settings import MeshSettings


def desired_record(
    upstream: LocalUpstream, settings: MeshSettings, *, is_upstream_closed: bool
) -> UpstreamRecord | None:
    """Return the record that the store should hold, None if it should hold none.

    Parameters
    ----------
    is_upstream_closed : bool
        Whether nothing listens at the address of the upstream that left.
    """
    if upstream.state is UpstreamState.UNKNOWN:
        if upstream.candidate is None:
            return None
        return record_of(upstream.candidate, UpstreamState.READY, settings)
    if upstream.state is UpstreamState.GONE:
        # Until the upstream has ended, the next process of this node needs the
        # record: a late report would make it use the upstream again.
        if is_upstream_closed:
            return None
        return record_of(upstream, UpstreamState.DRAINING, settings)
    return record_of(upstream, upstream.state, settings)


def record_of(
    upstream: LocalUpstream | ReadyUpstream,
    state: UpstreamState,
    settings: MeshSettings,
) -> UpstreamRecord:
    """Return the record of an upstream on the VM with these settings."""
    return UpstreamRecord(
        settings.node_id,
        upstream.service,
        settings.data_centre,
        settings.region,
        settings.peer_address,
        upstream.upstream_id,
        state,
        upstream.slots,
        upstream.born_ms,
        version=upstream.version,
    )


def gateway_notice(
    upstream: LocalUpstream, *, is_draining: bool, rate_limit: float | None = None
) -> GatewayNotice:
    """Return the notice about the upstream for other nodes.

    Parameters
    ----------
    is_draining : bool
        Whether the node itself accepts no more calls, because it stops.
    rate_limit : float or None
        As in `GatewayNotice`.
    """
    return GatewayNotice(
        upstream.service,
        upstream.upstream_id,
        UpstreamState.DRAINING if is_draining else upstream.state,
        upstream.slots,
        upstream.is_leaving,
        upstream.born_ms,
        upstream.version,
        rate_limit,
    )
