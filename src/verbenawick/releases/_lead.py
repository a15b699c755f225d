"""Releases as the leader conducts them; does no I/O and reads no clock."""

from collections.abc import Callable
from dataclasses import replace

from verbenawick.releases._judgement import UpstreamTally
from verbenawick.releases._model import (
    ReleaseOrder,
    ReleaseState,
    ReleaseStatus,
    ReleaseView,
)
from verbenawick.releases._plan import Evidence, ReleasePlan
from verbenawick.releases._reports import ReleaseReports

# Time for which the end of a release is announced, seconds. The upstreams of a version
# that was rolled back run on for some seconds; the others stop at once after the end of
# a release.
ANNOUNCED_S = {ReleaseState.ROLLED_BACK: 30.0, ReleaseState.COMPLETED: 3.0}
# Interval at which the time left is stored, so that the next leader continues from it.
REFRESH_S = 2.0


class ReleaseLead:
    """Plans of all orders, and the reports that they are judged by.

    A raised share is announced once it is stored: the condition of the write lets a
    single leader raise it. A roll-back is announced at once, so it binds the leaders
    that follow before it is stored: they ask what this node has been told.

    Parameters
    ----------
    ready_versions : callable
        Returns the versions of the ready upstreams of a service by node id.
    is_followed : callable
        Returns whether this node has followed a release of a service until now.
    is_rolled_back : callable
        Returns whether this node knows a roll-back of an order, given its service, its
        target version, the revision at which it was written, and the current time.
    """

    def __init__(
        self,
        *,
        max_exposure: float,
        ready_versions: Callable[[str], dict[str, str]],
        is_followed: Callable[[str], bool] = lambda service: False,
        is_rolled_back: Callable[[str, str, int, float], bool] = lambda *order: False,
    ):
        self._is_rolled_back = is_rolled_back
        self._is_followed = is_followed
        self._max_exposure = max_exposure
        self._ready_versions = ready_versions
        self.plans_by_service: dict[str, ReleasePlan] = {}
        # Status and the time at which it was stored or read.
        self._stored_by_service: dict[str, tuple[ReleaseStatus, float]] = {}
        self._reports_by_service: dict[str, ReleaseReports] = {}

    def clear(self) -> None:
        """Forget everything, since another node leads."""
        self.plans_by_service.clear()
        self._stored_by_service.clear()
        self._reports_by_service.clear()

    def put_order(
        self, order: ReleaseOrder, now: float, *, is_older_copy: bool = False
    ) -> None:
        """Apply an order that was read from the store.

        Parameters
        ----------
        is_older_copy : bool
            Whether the store has come back from an older copy. A plan of the same order
            then goes on, whatever the store says of its progress.
        """
        service = order.service
        plan = self.plans_by_service.get(service)
        if plan is not None and plan.is_same_order(order):
            is_anew = order.progress is None and service in self._stored_by_service
            is_anew |= plan.is_earlier_than(order.progress)
            is_kept = not is_anew and not plan.is_behind(order.progress)
            if is_kept or is_older_copy:
                plan.order = order
                self._set_stored(service, order.progress, now)
                return
        else:
            self._reports_by_service.pop(service, None)
        next_plan = ReleasePlan(order, now, max_exposure=self._max_exposure)
        was_open = plan is not None and plan.ended_at is None
        if next_plan.ended_at is not None and (was_open or self._is_followed(service)):
            # The leader that ended the release may be lost.
            next_plan.ended_at = now
        self.plans_by_service[service] = next_plan
        self._set_stored(service, order.progress, now)
        self._follow_roll_back(service, next_plan, now)

    def replace_orders(
        self, orders: list[ReleaseOrder], now: float, *, is_older_copy: bool = False
    ) -> None:
        """Apply all orders of the store; the others were deleted.

        An older copy may lack an order; what the operator wrote is written again.
        """
        if not is_older_copy:
            for service in self.plans_by_service.keys() - {o.service for o in orders}:
                self._remove(service)
        for order in orders:
            self.put_order(order, now, is_older_copy=is_older_copy)

    def remove_order(self, name: str) -> None:
        """Forget the order that was stored under `name`."""
        for service, plan in list(self.plans_by_service.items()):
            if plan.order.name == name:
                self._remove(service)

    def put_report(
        self, service: str, target_version: str, tally: UpstreamTally, now: float
    ) -> None:
        """Keep what a node reports of its upstream."""
        plan = self.plans_by_service.get(service)
        if plan is not None and plan.order.target_version == target_version:
            reports = self._reports_by_service.setdefault(service, ReleaseReports())
            reports.put(tally, now)

    def advance(self, now: float) -> None:
        """Advance all plans."""
        for service, plan in self.plans_by_service.items():
            self._follow_roll_back(service, plan, now)
            evidence = self._evidence(service, plan, now)
            plan.advance(now, evidence, is_stored=self._is_stored(service, plan, now))

    def unstored(self, now: float) -> list[tuple[ReleaseOrder, ReleaseStatus]]:
        """Return the statuses that the store lacks, or has for `REFRESH_S`."""
        statuses = []
        for service, plan in self.plans_by_service.items():
            is_stored = self._is_stored(service, plan, now)
            if is_stored and plan.state is ReleaseState.ACTIVE:
                _, stored_at = self._stored_by_service[service]
                is_stored = now < stored_at + REFRESH_S
            if not is_stored:
                statuses.append((plan.order, plan.status(now)))
        return statuses

    def on_stored(
        self, order: ReleaseOrder, status: ReleaseStatus, revision: int, now: float
    ) -> None:
        """Note that the status of `order` was stored, which gave it `revision`."""
        plan = self.plans_by_service.get(order.service)
        # A watch may have brought a later order meanwhile.
        if plan is None or plan.order is not order:
            return
        plan.order = replace(order, revision=revision, status=status)
        earlier = self._stored_by_service.get(order.service)
        self._stored_by_service[order.service] = (status, now)
        if earlier is None or _progress(earlier[0]) != _progress(status):
            plan.note_stored(now)

    def views(self, now: float) -> list[ReleaseView]:
        """Return what the nodes have to know."""
        views = []
        for service, plan in self.plans_by_service.items():
            stored = self._stored_by_service.get(service)
            if plan.state is ReleaseState.ROLLED_BACK:
                state, share = plan.state, 0.0
            elif stored is not None:
                state, share = stored[0].state, stored[0].share
            else:
                continue
            if plan.ended_at is not None and (
                now > plan.ended_at + ANNOUNCED_S[plan.state]
            ):
                continue
            target_version = plan.order.target_version
            # Without upstreams of the version, the others have to take the calls.
            has_targets = target_version in self._ready_versions(service).values()
            is_final = share >= 1 and has_targets and plan.is_final(now)
            revision = plan.order.revision
            views.append(
                ReleaseView(
                    service,
                    target_version,
                    state,
                    share,
                    is_final,
                    revision,
                    plan.ordered_at,
                )
            )
        return views

    def _follow_roll_back(self, service: str, plan: ReleasePlan, now: float) -> None:
        """Roll back what another leader has rolled back, unless its end is stored."""
        is_ended = plan.state is ReleaseState.ROLLED_BACK or (
            plan.state is ReleaseState.COMPLETED and self._is_stored(service, plan, now)
        )
        target_version = plan.order.target_version
        if not is_ended and self._is_rolled_back(
            service, target_version, plan.ordered_at, now
        ):
            plan.roll_back("another leader has rolled the version back")

    def _evidence(self, service: str, plan: ReleasePlan, now: float) -> Evidence:
        target_version = plan.order.target_version
        versions_by_node_id = self._ready_versions(service)
        target_ids = {n for n, v in versions_by_node_id.items() if v == target_version}
        other_ids = versions_by_node_id.keys() - target_ids
        reports = self._reports_by_service.get(service) or ReleaseReports()
        return Evidence(
            len(target_ids),
            reports.verdict(target_ids, target_version),
            len(other_ids),
            reports.are_idle(other_ids, now),
        )

    def _is_stored(self, service: str, plan: ReleasePlan, now: float) -> bool:
        stored = self._stored_by_service.get(service)
        return stored is not None and _progress(stored[0]) == _progress(
            plan.status(now)
        )

    def _set_stored(
        self, service: str, status: ReleaseStatus | None, now: float
    ) -> None:
        if status is None:
            self._stored_by_service.pop(service, None)
        else:
            self._stored_by_service[service] = (status, now)

    def _remove(self, service: str) -> None:
        self.plans_by_service.pop(service, None)
        self._stored_by_service.pop(service, None)
        self._reports_by_service.pop(service, None)


def _progress(status: ReleaseStatus) -> tuple:
    return (status.state, status.target_version, status.share)
