"""Learned limit of the calls that run at one upstream at a time.

Load: more calls wait than an upstream runs well, and it slows down before its slots are
full. Calls beyond that point make the others slower without any gain, whereas in the
queue they can be ordered, refused early or sent elsewhere.

While calls wait, the upstream always runs as many as the limit allows, so that nothing
shows how it would do with another limit. Another one is therefore tried for some
service times now and then, and kept if more calls complete with it. Calls that began in
the trial are compared with those that began just before and just after it, so that a
slow spell of the upstream is not taken for an effect of the limit; their times are
taken relative to the usual ones of their routes.
"""

from enum import Enum

from verbenawick.capacity._moving_average import MovingAverages

# Weight of a sample in the usual time of a route.
USUAL_WEIGHT = 0.01
# Maximum relative service time of a sample, so that one long call decides nothing.
MAX_RELATIVE_S = 3.0
# Change of the limit in a trial, and least limit, as shares of the slots.
TRIAL_SHARE = 0.25
MIN_SHARE = 0.5
# Samples that each of the three compared groups of calls needs.
MIN_SAMPLES = 20
# A trial ends without a result after this time, seconds.
MAX_TRIAL_S = 10.0
# Ratio of the throughputs from which another limit is better.
MIN_GAIN = 1.1
# Greatest ratio of the service times before and after a trial that can be compared.
MAX_DRIFT = 1.25
# Time for which calls have to be waiting before fewer are tried, seconds. A short queue
# ends sooner without a trial.
BUSY_S = 1.5
# Time without waiting calls after which the limit is forgotten, seconds.
CALM_S = 10.0
# Time between two trials, seconds. Doubles after each one that changed nothing.
MIN_INTERVAL_S = 2.0
MAX_INTERVAL_S = 16.0


class _Phase(Enum):
    BEFORE = 0
    TRIAL = 1
    AFTER = 2


class _Mean:
    __slots__ = ("count", "total")

    def __init__(self):
        self.count = 0
        self.total = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        self.total += value

    @property
    def value(self) -> float:
        return self.total / self.count


class ConcurrencyLimit:
    """Calls that an upstream takes well at a time, at most its slots."""

    def __init__(self, slots: int):
        self.reset(slots)

    def reset(self, slots: int) -> None:
        """Forget what was learned, for another upstream or another number of slots."""
        self._slots = slots
        self._limit = slots
        self._usual_s_by_route = MovingAverages(USUAL_WEIGHT)
        self._step = 0
        self._interval_s = MIN_INTERVAL_S
        self._next_trial_at = 0.0
        self._busy_since = 0.0
        self._last_busy_at = 0.0
        self._begin(0.0)

    @property
    def learned(self) -> int:
        """Return the number of calls that the upstream is found to take well."""
        return self._limit

    @property
    def value(self) -> int:
        """Return the number of calls that may run at a time; changed in a trial."""
        is_trial = self._phase is _Phase.TRIAL
        return self._limit + self._step if is_trial else self._limit

    def add(
        self, route: str, service_s: float, started_at: float, now: float, *, is_busy
    ) -> None:
        """Add a completed call.

        Parameters
        ----------
        is_busy : bool
            Whether further calls wait.
        """
        self._record_busy(now, is_busy)
        usual_s = self._usual_s_by_route.value(route)
        self._usual_s_by_route.add(route, service_s)
        if not usual_s:
            return
        self._add_to_phase(min(service_s / usual_s, MAX_RELATIVE_S), started_at)
        if self._phase is not _Phase.BEFORE and now - self._trial_at > MAX_TRIAL_S:
            self._begin(now)
        elif self._phase is _Phase.BEFORE:
            self._try_to_start_trial(now, is_busy)
        elif self._phase is _Phase.TRIAL:
            if self._samples[_Phase.TRIAL].count >= MIN_SAMPLES:
                self._phase = _Phase.AFTER
                self._phase_at[_Phase.AFTER] = now
        elif self._samples[_Phase.AFTER].count >= MIN_SAMPLES:
            self._evaluate(now)

    def _record_busy(self, now: float, is_busy: bool) -> None:
        if is_busy:
            self._last_busy_at = now
            return
        self._busy_since = now
        if now - self._last_busy_at > CALM_S:
            self._limit = self._slots

    def _add_to_phase(self, relative_s: float, started_at: float) -> None:
        """Add a sample to the group of calls that began in the same phase as it."""
        for phase in reversed(_Phase):
            if phase in self._phase_at and started_at >= self._phase_at[phase]:
                self._samples[phase].add(relative_s)
                return

    def _begin(self, now: float) -> None:
        self._phase = _Phase.BEFORE
        self._phase_at = {_Phase.BEFORE: now}
        self._trial_at = now
        self._samples = {phase: _Mean() for phase in _Phase}

    def _try_to_start_trial(self, now: float, is_busy: bool) -> None:
        step = self._next_step(now)
        if not is_busy or not step or now < self._next_trial_at:
            return
        before = self._samples[_Phase.BEFORE]
        if before.count < MIN_SAMPLES:
            return
        if before.count > 3 * MIN_SAMPLES:
            # Old samples are no comparison for the calls of the trial.
            self._begin(now)
            return
        self._step = step
        self._phase = _Phase.TRIAL
        self._trial_at = self._phase_at[_Phase.TRIAL] = now

    def _next_step(self, now: float) -> int:
        """Return the change to try next; down and up in turn, 0 for none."""
        size = max(round(TRIAL_SHARE * self._slots), 1)
        down = max(max(round(MIN_SHARE * self._slots), 1) - self._limit, -size)
        up = min(self._slots - self._limit, size)
        if now - self._busy_since < BUSY_S:
            return up
        return up if up and (self._step < 0 or not down) else down

    def _evaluate(self, now: float) -> None:
        before, trial, after = (self._samples[phase].value for phase in _Phase)
        drift = max(before, after) / min(before, after)
        gain = (1 + self._step / self._limit) * (before + after) / (2 * trial)
        if drift > MAX_DRIFT:
            self._interval_s = MIN_INTERVAL_S
        elif gain >= MIN_GAIN:
            self._limit += self._step
            self._interval_s = MIN_INTERVAL_S
        else:
            self._interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
        self._next_trial_at = now + self._interval_s
        self._begin(now)
