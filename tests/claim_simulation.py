"""Seeded simulation of claim coordinators with process, link and caller failures.

Each call and each planned stop runs in a greenlet that is suspended wherever the real
one may switch: while it waits for another node, for a slot or for the upstream. Each
random step delivers or loses a message, resumes a greenlet, changes the membership,
pauses, crashes or isolates a process, or advances the clock.

Callers follow the rules of docs/at-most-once.md: the attempt number increases after
every outcome other than "not run", and a key is last sent `RETRY_WINDOW_S` after its
first attempt. A call is read at most `MAX_CALL_DELAY_S` after it was sent.
"""

from dataclasses import dataclass, field
from random import Random

from greenlet import getcurrent, greenlet

from tests.claim_fakes import SERVICE, answer
from verbenawick.claims._claim_records import ClaimLimits
from verbenawick.claims._claims import ClaimCoordinator
from verbenawick.errors import AnswerLostError, LinkClosedError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._members import DepartedMember, Member, MemberState
from verbenawick.runtime._clock import ManualClock

LIMITS = ClaimLimits(
    horizon_s=400.0, authority_s=120.0, longest_call_s=10.0, seal_timeout_s=3.0
)
CALL_S = 8.0
MAX_CALL_DELAY_S = LIMITS.authority_s
RETRY_WINDOW_S = LIMITS.horizon_s - MAX_CALL_DELAY_S
MEMBER_TIMEOUT_S = 4.0
MAX_NODES = 5


class DuplicateExecutionError(AssertionError):
    """A key ran twice, or was reported as not run although it ran."""


@dataclass
class MembershipChange:
    """Record of the membership log, which every node reads in the same order."""

    kind: str  # join, drain, depart, ended
    node_id: str
    incarnation: int
    at: float
    handed_over: bool = False
    process_ended: bool = False


@dataclass
class Process:
    """Node process with its own, possibly outdated, view of the membership log."""

    simulation: "ClaimSimulation"
    node_id: str
    incarnation: int
    region: str
    read_times: list[float] = field(default_factory=list)
    is_alive: bool = True
    is_paused: bool = False
    is_isolated: bool = False
    is_stopping: bool = False
    unreachable_since: float | None = None
    coordinator: ClaimCoordinator | None = None

    def sync(self, position: int) -> None:
        """Read the membership log up to a position."""
        missing = position - len(self.read_times)
        self.read_times.extend([self.simulation.clock.now()] * missing)
        self.confirmed_at = (
            self.simulation.clock.now()
            if position == len(self.simulation.log)
            else self.simulation.log[position].at
        )

    def _replay(self):
        now, members, departed = self.simulation.clock.now(), {}, {}
        for change, read_at in zip(self.simulation.log, self.read_times, strict=False):
            ref = (change.node_id, change.incarnation)
            if change.kind == "join":
                members[change.node_id] = Member(
                    *ref,
                    SERVICE,
                    "dc",
                    self.simulation.region_of(change.node_id),
                    "127.0.0.1:1",
                    1,
                    recently_joined=now - change.at < LIMITS.horizon_s,
                )
            elif change.kind == "drain":
                old = members[change.node_id]
                members[change.node_id] = Member(
                    *ref, SERVICE, "dc", old.region, "", 1, MemberState.DRAINING
                )
            else:
                member = members.get(change.node_id)
                if member is not None and member.incarnation == change.incarnation:
                    del members[change.node_id]
                departed[ref] = DepartedMember(
                    *ref,
                    SERVICE,
                    self.simulation.region_of(change.node_id),
                    change.handed_over,
                    change.process_ended,
                    read_at,
                )
        recent = [
            d for d in departed.values() if now - d.departed_at <= LIMITS.horizon_s
        ]
        return members, recent

    def members_of(self, service_id):
        """Return the members in this view."""
        return tuple(sorted(self._replay()[0].values(), key=lambda m: m.node_id))

    def departed_of(self, service_id):
        """Return the departed members in this view."""
        return tuple(self._replay()[1])

    def member(self, node_id):
        """Return one member of this view."""
        return self._replay()[0].get(node_id)

    def authority_deadline(self):
        """Return the time at which the authority to claim ends."""
        return self.confirmed_at + LIMITS.authority_s

    def request(self, member, message, *, deadline):
        """Send `message` and suspend the task until it is answered or lost."""
        receiver = self.simulation.processes_by_id.get(member.node_id)
        if receiver is None or not self.simulation.is_connected(self, receiver):
            raise LinkClosedError("no link", peer=member.node_id)
        self.simulation.task.pending_request = PendingRequest(
            receiver, message, deadline
        )
        return self.simulation.suspend()


@dataclass
class PendingRequest:
    """Request whose answer a task is waiting for."""

    receiver: Process
    message: object
    deadline: float
    reply: object = None


@dataclass
class Task:
    """Greenlet that runs in a process."""

    process: Process
    greenlet: greenlet
    pending_request: PendingRequest | None = None


@dataclass
class Call:
    """One attempt of a caller, sent by an entry to the owner in its member table."""

    key: str
    attempt: int
    target: Process
    sent_at: float
    is_started: bool = False


@dataclass
class Caller:
    """Caller that sends one request with one key."""

    key: str
    attempt: int = 1
    first_sent_at: float | None = None
    call: Call | None = None


class ClaimSimulation:
    """Processes, messages in flight and callers, changed by random steps."""

    def __init__(self, seed: int, coordinator_type=ClaimCoordinator):
        self.random = Random(seed)
        self.clock = ManualClock()
        self.coordinator_type = coordinator_type
        self.log: list[MembershipChange] = []
        self.processes_by_id: dict[str, Process] = {}
        self.tasks: list[Task] = []
        self.task: Task | None = None
        self.delayed_messages: list[tuple[Process, object]] = []
        self.callers: list[Caller] = []
        self.runs_by_key: dict[str, int] = {}
        self.outcome_counts: dict[str, int] = {}
        self._hub = getcurrent()
        self._incarnations = 0
        for number in range(3):
            self._start(f"n{number}", self.clock.now() - 2 * LIMITS.horizon_s)
        self._sync_all()
        # The fault rate varies by seed, so that short and long fault sequences occur.
        fault_rate = self.random.choice((0.1, 0.3, 0.6))
        self._steps = (
            (40, self._resume_task),
            (30, self._deliver_request),
            (25, self._send_call),
            (25, self._start_call),
            (6, self._pass_short_time),
            (8, self._sync_one),
            (4, self._abandon_call),
            (2, self._deliver_delayed_message),
            (2, self._lose_request),
            (0.8 * fault_rate, self._pass_long_time),
            (2.0 * fault_rate, self._join),
            (0.7 * fault_rate, self._crash),
            (0.7 * fault_rate, self._stop),
            (2.0 * fault_rate, self._pause_or_resume),
            (2.0 * fault_rate, self._isolate_or_reconnect),
            (4.0 * fault_rate, self._declare_departed),
            (4.0 * fault_rate, self._rejoin),
        )
        self._weights = [weight for weight, _ in self._steps]

    def run(self, steps: int) -> "ClaimSimulation":
        """Take random steps; raise `DuplicateExecutionError` at a violation."""
        for _ in range(steps):
            self.random.choices(self._steps, self._weights)[0][1]()
        return self

    def region_of(self, node_id: str) -> str:
        """Return the region of a node."""
        return "ab"[int(node_id[1:]) % 2]

    def is_connected(self, one: Process, other: Process) -> bool:
        """Return whether two processes can exchange messages."""
        return one.is_alive and other.is_alive and one.is_isolated == other.is_isolated

    def suspend(self):
        """Suspend the current task until a step resumes it."""
        return self._hub.switch()

    def _count_outcome(self, name: str) -> None:
        self.outcome_counts[name] = self.outcome_counts.get(name, 0) + 1

    def _pick(self, items):
        items = list(items)
        return self.random.choice(items) if items else None

    def _chance(self, share: float) -> bool:
        return self.random.random() < share

    # Tasks and messages

    def _spawn(self, process: Process, function, *args) -> None:
        task = Task(process, greenlet(function, self._hub))
        self.tasks.append(task)
        self._switch(task, *args)

    def _switch(self, task: Task, *args, error: Exception | None = None) -> None:
        self.task, task.pending_request = task, None
        if error is not None:
            task.greenlet.throw(error)
        else:
            task.greenlet.switch(*args)
        self.task = None
        if task.greenlet.dead and task in self.tasks:
            self.tasks.remove(task)

    def _is_running(self, process: Process) -> bool:
        return process.is_alive and not process.is_paused

    def _resume_task(self) -> None:
        task = self._pick(t for t in self.tasks if self._is_running(t.process))
        if task is None:
            return
        pending_request = task.pending_request
        if pending_request is None:
            self._switch(task)
        elif pending_request.reply is not None and self.is_connected(
            task.process, pending_request.receiver
        ):
            self._switch(task, pending_request.reply)
        elif (
            self.clock.now() >= pending_request.deadline
            or pending_request.reply is not None
        ):
            if pending_request.reply is None:
                self.delayed_messages.append(
                    (pending_request.receiver, pending_request.message)
                )
            self._switch(task, error=AnswerLostError("timeout"))

    def _deliver_request(self) -> None:
        task = self._pick(
            t
            for t in self.tasks
            if t.pending_request and t.pending_request.reply is None
        )
        if task is None:
            return
        pending_request = task.pending_request
        if self._is_running(pending_request.receiver) and self.is_connected(
            task.process, pending_request.receiver
        ):
            pending_request.reply = pending_request.receiver.coordinator.answer_to(
                pending_request.message
            )
            if self._chance(0.1):
                self.delayed_messages.append(
                    (pending_request.receiver, pending_request.message)
                )

    def _lose_request(self) -> None:
        task = self._pick(
            t for t in self.tasks if t.pending_request and self._is_running(t.process)
        )
        if task is not None:
            self._switch(task, error=AnswerLostError("link closed"))

    def _deliver_delayed_message(self) -> None:
        """Deliver a delayed or duplicated message and discard its answer."""
        if self.delayed_messages:
            index = self.random.randrange(len(self.delayed_messages))
            receiver, message = self.delayed_messages[index]
            if self._is_running(receiver):
                receiver.coordinator.answer_to(message)
                del self.delayed_messages[index]
            elif not receiver.is_alive:
                del self.delayed_messages[index]

    # Callers, entries and gateways

    def _send_call(self) -> None:
        caller = self._pick(c for c in self.callers if c.call is None)
        if caller is None or (len(self.callers) < 6 and self._chance(0.2)):
            if len(self.callers) >= 6:
                return
            name = f"k{len(self.runs_by_key)}"
            caller = Caller(self.random.choice(("", "a/", "b/")) + name)
            self.runs_by_key[caller.key] = 0
            self.callers.append(caller)
        now = self.clock.now()
        if caller.first_sent_at is None:
            caller.first_sent_at = now
        elif now > caller.first_sent_at + RETRY_WINDOW_S:
            self.callers.remove(caller)
            return
        entry = self._pick(p for p in self.processes_by_id.values() if p.is_alive)
        if entry is None:
            return
        owner = entry.coordinator.owner_of(SERVICE, caller.key)
        target = self.processes_by_id.get(owner.node_id) if owner else None
        if target is None or not self.is_connected(entry, target):
            self._report_outcome(
                caller, "not-run" if caller.attempt == 1 else "unknown"
            )
            return
        caller.call = Call(caller.key, caller.attempt, target, now)

    def _start_call(self) -> None:
        caller = self._pick(c for c in self.callers if c.call and not c.call.is_started)
        if caller is not None and self._is_running(caller.call.target):
            self._begin(caller, caller.call)

    def _begin(self, caller: Caller, call: Call) -> None:
        call.is_started = True
        self._spawn(call.target, self._serve, caller, call)

    def _serve(self, caller: Caller, call: Call) -> None:
        """Handle a call as the gateway of the owner does."""
        if self.clock.now() - call.sent_at > MAX_CALL_DELAY_S:
            return
        coordinator, key = call.target.coordinator, call.key
        decision = coordinator.begin(
            key,
            fingerprint=b"request",
            attempt=call.attempt,
            deadline=self.clock.now() + CALL_S,
        )
        self._count_outcome(f"{decision.verdict} {decision.code}".strip())
        outcome = {"recorded": "complete", "refused": "not-run"}.get(
            decision.verdict, "unknown"
        )
        if decision.verdict == "run":
            outcome = self._execute(coordinator, call)
        if caller.call is call and not self._chance(0.3):
            caller.call = None
            self._report_outcome(caller, outcome)

    def _execute(self, coordinator: ClaimCoordinator, call: Call) -> str:
        self.suspend()  # waits in the queue of the gateway
        if not coordinator.confirm(call.key) or self._chance(0.1):
            self._count_outcome("released")
            coordinator.release(call.key)
            return "not-run" if call.attempt == 1 else "unknown"
        self.runs_by_key[call.key] += 1
        if self.runs_by_key[call.key] > 1:
            raise DuplicateExecutionError(f"{call.key} ran twice")
        self.suspend()  # waits for the upstream
        if self._chance(0.3):
            coordinator.mark_unknown(call.key)
            return "unknown"
        coordinator.finish(call.key, answer())
        return "complete"

    def _report_outcome(self, caller: Caller, outcome: str) -> None:
        runs = self.runs_by_key[caller.key]
        if outcome == "not-run" and runs:
            raise DuplicateExecutionError(
                f"{caller.key} ran and was reported as not run"
            )
        if outcome == "complete":
            if runs != 1:
                raise DuplicateExecutionError(
                    f"{caller.key} complete after {runs} runs"
                )
            if self._chance(0.5):
                self.callers.remove(caller)
                return
        if outcome != "not-run":
            caller.attempt += 1
            if self._chance(0.1):
                self.callers.remove(caller)

    def _abandon_call(self) -> None:
        caller = self._pick(c for c in self.callers if c.call)
        if caller is None:
            return
        call = caller.call
        if self.clock.now() - call.sent_at > CALL_S or self._chance(0.2):
            caller.call = None
            caller.attempt += 1
            if not call.is_started:
                self._spawn(call.target, self._serve_delayed, caller, call)

    def _serve_delayed(self, caller: Caller, call: Call) -> None:
        """Serve a call that its caller abandoned while it was in flight."""
        self.suspend()
        self._serve(caller, call)

    # Time and membership

    def _pass_short_time(self) -> None:
        self.clock.advance(self.random.choice((0.1, 0.5, 2.0)))

    def _pass_long_time(self) -> None:
        self.clock.advance(
            self.random.choice((5.0, 12.0, 40.0, LIMITS.authority_s + 11))
        )
        self._sync_all()

    def _sync_all(self) -> None:
        for process in self.processes_by_id.values():
            if self._has_relay(process):
                process.sync(len(self.log))

    def _sync_one(self) -> None:
        process = self._pick(
            p for p in self.processes_by_id.values() if self._has_relay(p)
        )
        if process is not None:
            behind = len(self.log) - len(process.read_times)
            position = len(self.log) - (self.random.randint(0, behind) if behind else 0)
            process.sync(position)

    def _has_relay(self, process: Process) -> bool:
        return self._is_running(process) and not process.is_isolated

    def _listed_incarnations(self) -> dict[str, int]:
        """Return the incarnation of each current member according to the log."""
        listed_incarnations = {}
        for change in self.log:
            if change.kind == "join":
                listed_incarnations[change.node_id] = change.incarnation
            elif change.kind in ("depart", "ended") and (
                listed_incarnations.get(change.node_id) == change.incarnation
            ):
                del listed_incarnations[change.node_id]
        return listed_incarnations

    def _start(self, node_id: str, at: float) -> None:
        self._incarnations += 1
        process = Process(self, node_id, self._incarnations, self.region_of(node_id))
        process.coordinator = self.coordinator_type(
            NodeIdentity(
                node_id, process.incarnation, SERVICE, "dc", process.region, ""
            ),
            members=process,
            requests=process,
            clock=self.clock,
            limits=LIMITS,
        )
        self.processes_by_id[node_id] = process
        self.log.append(MembershipChange("join", node_id, process.incarnation, at))
        process.sync(len(self.log))

    def _join(self) -> None:
        """Start a process; a restart proves that the old process of the node ended."""
        node_id = self._pick(
            name
            for name in (f"n{number}" for number in range(MAX_NODES))
            if name not in self.processes_by_id
        )
        if node_id is None:
            return
        now = self.clock.now()
        past = {c.incarnation: c for c in self.log if c.node_id == node_id}
        for incarnation, last in past.items():
            if not last.process_ended:
                self.log.append(
                    MembershipChange(
                        "ended", node_id, incarnation, now, process_ended=True
                    )
                )
        self._start(node_id, now)

    def _terminate(self, process: Process) -> None:
        process.is_alive = False
        del self.processes_by_id[process.node_id]
        self.tasks = [t for t in self.tasks if t.process is not process]

    def _crash(self) -> None:
        process = self._pick(self.processes_by_id.values())
        if process is not None:
            self._terminate(process)

    def _stop(self) -> None:
        process = self._pick(
            p
            for p in self.processes_by_id.values()
            if self._has_relay(p) and not p.is_stopping
        )
        if process is not None:
            process.is_stopping = True
            self._spawn(process, self._stop_gracefully, process)

    def _stop_gracefully(self, process: Process) -> None:
        coordinator = process.coordinator
        coordinator.stop_claiming()
        if self._listed_incarnations().get(process.node_id) == process.incarnation:
            self.log.append(
                MembershipChange(
                    "drain", process.node_id, process.incarnation, self.clock.now()
                )
            )
        for _ in range(4):
            if coordinator.running_claims:
                self.suspend()
        is_complete = coordinator.hand_over(self.clock.now() + 10)
        self._count_outcome("handed over" if is_complete else "handover failed")
        is_listed = (
            self._listed_incarnations().get(process.node_id) == process.incarnation
        )
        if self._has_relay(process) and is_listed:
            self.log.append(
                MembershipChange(
                    "depart",
                    process.node_id,
                    process.incarnation,
                    self.clock.now(),
                    handed_over=is_complete,
                    process_ended=True,
                )
            )
        self._terminate(process)

    def _pause_or_resume(self) -> None:
        processes = self.processes_by_id.values()
        paused = self._pick(p for p in processes if p.is_paused)
        process = paused if paused and self._chance(0.6) else self._pick(processes)
        if process is not None:
            process.is_paused = not process.is_paused

    def _isolate_or_reconnect(self) -> None:
        processes = self.processes_by_id.values()
        isolated = self._pick(p for p in processes if p.is_isolated)
        process = isolated if isolated and self._chance(0.6) else self._pick(processes)
        if process is not None:
            process.is_isolated = not process.is_isolated

    def _declare_departed(self) -> None:
        """Declare members departed that the relay has not heard from for too long."""
        now = self.clock.now()
        for node_id, incarnation in self._listed_incarnations().items():
            process = self.processes_by_id.get(node_id)
            is_same_process = process is not None and process.incarnation == incarnation
            if is_same_process and self._has_relay(process):
                process.unreachable_since = None
                continue
            if is_same_process:
                if process.unreachable_since is None:
                    process.unreachable_since = now
                if now - process.unreachable_since < MEMBER_TIMEOUT_S:
                    continue
            self.log.append(MembershipChange("depart", node_id, incarnation, now))

    def _rejoin(self) -> None:
        listed_incarnations = self._listed_incarnations()
        for process in self.processes_by_id.values():
            if (
                self._has_relay(process)
                and not process.is_stopping
                and listed_incarnations.get(process.node_id) != process.incarnation
            ):
                self.log.append(
                    MembershipChange(
                        "join", process.node_id, process.incarnation, self.clock.now()
                    )
                )
