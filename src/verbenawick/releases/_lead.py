"""Releases as the leader conducts them; does no I/O and reads no clock."""

from collections.abc import Callable
from dataclasses import replace

from verbenawick.releases._judgement import UpstreamTally, judge
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
    ReleaseView,
)
from verbenawick.releases._plan import Evidence, ReleasePlan

# Time after which a report says nothing about the calls in progress, seconds.
REPORT_VALID_S = 2.5
# Time for which the end of a release is announced, seconds. The upstreams of a version
# that was rolled back run on for some seconds; the others stop at once after the end of
# a release.
ANNOUNCED_S = {ReleaseState.ROLLED_BACK: 30.0, ReleaseState.COMPLETED: 3.0}


class ReleaseLead:
    """Plans of all orders, and the reports that they are judged by.

    A raised share is announced once it is stored: the condition of the write lets a
    single leader raise it. A roll-back is announced at once.

    Parameters
    ----------
    count_ready : callable
        Returns the number of ready upstreams of a service and version.
    """

    def __init__(self, *, max_exposure: float, count_ready: Callable[[str, str], int]):
        self._max_exposure = max_exposure
        self._count_ready = count_ready
        self.plans_by_service: dict[str, ReleasePlan] = {}
        self._stored_by_service: dict[str, ReleaseStatus] = {}
        # Tally and the time until which it is valid, by service and node.
        self._reports: dict[str, dict[str, tuple[UpstreamTally, float]]] = {}

    def put_order(self, order: ReleaseOrder, now: float) -> None:
        """Apply an order that was read from the store.

        A plan of the same order is kept unless the stored progress is ahead of it: the
        store may have come back from an older copy.
        """
        service = order.service
        plan = self.plans_by_service.get(service)
        if plan is not None and plan.is_same_order(order):
            if not plan.is_behind(order.progress):
                plan.order = order
                self._set_stored(service, order.progress)
                return
        else:
            self._reports.pop(service, None)
        self.plans_by_service[service] = ReleasePlan(
            order, now, max_exposure=self._max_exposure
        )
        self._set_stored(service, order.progress)

    def replace_orders(self, orders: list[ReleaseOrder], now: float) -> None:
        """Apply all orders of the store; the others were deleted."""
        for service in self.plans_by_service.keys() - {o.service for o in orders}:
            self.remove_order(service)
        for order in orders:
            self.put_order(order, now)

    def remove_order(self, service: str) -> None:
        """Forget the order of a service."""
        self.plans_by_service.pop(service, None)
        self._stored_by_service.pop(service, None)
        self._reports.pop(service, None)

    def put_report(
        self, service: str, target_version: str, tally: UpstreamTally, now: float
    ) -> None:
        """Keep what a node reports of its upstream."""
        plan = self.plans_by_service.get(service)
        if plan is not None and plan.order.target_version == target_version:
            reports = self._reports.setdefault(service, {})
            reports[tally.node_id] = (tally, now + REPORT_VALID_S)

    def advance(self, now: float) -> list[tuple[ReleaseOrder, ReleaseStatus]]:
        """Advance all plans; return the statuses that the store lacks."""
        unstored = []
        for service, plan in self.plans_by_service.items():
            plan.advance(now, self._evidence(service, plan, now))
            stored = self._stored_by_service.get(service)
            status = plan.status(now)
            if stored is None or _progress(stored) != _progress(status):
                unstored.append((plan.order, status))
        return unstored

    def on_stored(
        self, order: ReleaseOrder, status: ReleaseStatus, revision: int
    ) -> None:
        """Note that the status of `order` was stored, which gave it `revision`."""
        plan = self.plans_by_service.get(order.service)
        # A watch may have brought a later order meanwhile.
        if plan is not None and plan.order is order:
            plan.order = replace(order, revision=revision, status=status)
            self._stored_by_service[order.service] = status

    def views(self, now: float) -> list[ReleaseView]:
        """Return what the nodes have to know."""
        views = []
        for service, plan in self.plans_by_service.items():
            stored = self._stored_by_service.get(service)
            if plan.state is ReleaseState.ROLLED_BACK:
                state, share = plan.state, 0.0
            elif stored is not None:
                state, share = stored.state, stored.share
            else:
                continue
            if plan.ended_at is not None and (
                now > plan.ended_at + ANNOUNCED_S[plan.state]
            ):
                continue
            views.append(
                ReleaseView(
                    service,
                    plan.order.target_version,
                    state,
                    share,
                    share >= 1 and plan.is_final(now),
                    plan.order.revision,
                )
            )
        return views

    def _evidence(self, service: str, plan: ReleasePlan, now: float) -> Evidence:
        target_version = plan.order.target_version
        targets, others = [], []
        in_progress = 0
        for tally, valid_until in self._reports.get(service, {}).values():
            if tally.version == target_version:
                targets.append(tally)
                continue
            others.append(tally)
            if now <= valid_until:
                in_progress += tally.in_progress
        return Evidence(
            self._count_ready(service, target_version),
            judge(targets, others),
            in_progress,
        )

    def _set_stored(self, service: str, status: ReleaseStatus | None) -> None:
        if status is None:
            self._stored_by_service.pop(service, None)
        else:
            self._stored_by_service[service] = status


def _progress(status: ReleaseStatus) -> tuple:
    return (status.state, status.target_version, status.share)
