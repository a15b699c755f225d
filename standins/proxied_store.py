"""Stand-in store whose records name proxies in place of the nodes."""

from dataclasses import dataclass, field

from standins.platform_store import StandinPlatformStore

RECORD_KIND = "verbenawick-upstreams"


@dataclass(slots=True)
class ProxiedStore(StandinPlatformStore):
    """Store that replaces the peer address in each record that is written.

    Attributes
    ----------
    proxy_by_address : dict
        Address of the proxy by the address at which the node listens.
    """

    proxy_by_address: dict[str, str] = field(default_factory=dict)

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object; see `StandinPlatformStore.put`."""
        if kind == RECORD_KIND:
            address = spec["peer_address"]
            spec = {**spec, "peer_address": self.proxy_by_address.get(address, address)}
        # The decorator replaces the class, so `super()` has no valid cell.
        return StandinPlatformStore.put(self, kind, name, spec)
