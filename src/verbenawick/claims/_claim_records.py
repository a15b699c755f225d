"""Bounded table of the claim records of one node."""

from collections import OrderedDict
from dataclasses import dataclass

from verbenawick.claims._claim_messages import ClaimState, ProcessRef, RecordRow
from verbenawick.errors import ClaimTableFullError
from verbenawick.links._call_messages import CallAnswer
from verbenawick.runtime._clock import Clock
from verbenawick.runtime._events import Event, emit, register_event


@register_event(600, level="WARNING")
@dataclass(frozen=True, slots=True)
class ClaimTableFull(Event):
    """All records of the full table are within the horizon; new keys are refused."""

    records: int


@register_event(601, level="ERROR")
@dataclass(frozen=True, slots=True)
class ClaimConflict(Event):
    """Two nodes have different results for one key: it ran twice."""

    key: str
    sender: str


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Durations and limits that apply to claims.

    Attributes
    ----------
    horizon_s : float
        Takeover horizon H. Records younger than it are never dropped, and the member
        table lists the members that joined or departed within it.
    authority_s : float
        L: how long a node may claim keys after its membership was last confirmed.
        Exceeds the one hour that a partition or a store outage may last.
    longest_call_s : float
        Longest execution time of one request at an upstream.
    seal_timeout_s : float
        Longest wait for the answer of one earlier owner.
    max_records : int
        Maximum number of records, including seals. At 1.8 keyed calls/s they cover
        9 hours.
    max_kept_answer_bytes : int
        Largest response that is kept with its record, in bytes.
    max_answers_bytes : int
        Memory limit for all kept responses. Above it the oldest responses are dropped;
        their records stay, so a retry is told that the request ran. At 1.8 keyed
        calls/s the default keeps responses of 1.9 KB for the whole horizon. A full
        table (321 bytes per record, `bench claims`) and the responses take 44 MB, so
        that a node of 66 MB (`bench daemons`) stays within its limit of 128 MB.
    max_key_length : int
        Maximum length of a key in characters.
    """

    horizon_s: float = 2 * 3600.0
    authority_s: float = 75 * 60.0
    longest_call_s: float = 30.0
    seal_timeout_s: float = 2.0
    max_records: int = 60_000
    max_kept_answer_bytes: int = 64 * 1024
    max_answers_bytes: int = 24 * 1024 * 1024
    max_key_length: int = 200


# Limit of the processes recorded per sealed key. There is more than one only if the
# membership changed several times within the horizon between two uses of the key.
MAX_SEALERS = 8


@dataclass(slots=True)
class ClaimRecord:
    """Record of one key at this node; fields as in `RecordRow`."""

    fingerprint: bytes
    state: ClaimState
    created_at: float
    answer: CallAnswer | None = None
    sealers: tuple[ProcessRef, ...] = ()


# Memory overhead of a kept response with two headers, as measured by `bench claims`.
ANSWER_OVERHEAD_BYTES = 340


def answer_size(answer: CallAnswer) -> int:
    """Return the size of the body and the headers of a response in bytes."""
    return len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)


def answer_memory(answer: CallAnswer) -> int:
    """Return the memory used by a kept response in bytes."""
    return answer_size(answer) + ANSWER_OVERHEAD_BYTES


class ClaimTable:
    """Claim records by key, oldest first.

    When the table is full and its oldest record is older than the horizon, a new
    record evicts it. Otherwise the new record is refused with `ClaimTableFullError`.
    """

    def __init__(self, clock: Clock, limits: ClaimLimits):
        self._clock = clock
        self._limits = limits
        self._records_by_key: OrderedDict[str, ClaimRecord] = OrderedDict()
        # Keys with a kept response, oldest first.
        self._answered_keys: OrderedDict[str, None] = OrderedDict()
        self._answers_bytes = 0
        self._is_full = False

    def __len__(self) -> int:
        return len(self._records_by_key)

    @property
    def answers_bytes(self) -> int:
        """Memory used by all kept responses in bytes."""
        return self._answers_bytes

    def get(self, key: str) -> ClaimRecord | None:
        """Return the record of `key`, or None."""
        return self._records_by_key.get(key)

    def keys(self) -> tuple[str, ...]:
        """Return all keys, oldest record first."""
        return tuple(self._records_by_key)

    def ensure_capacity(self) -> None:
        """Evict the oldest record if one more would exceed the limit.

        Raises
        ------
        ClaimTableFullError
            All records are within the horizon, or the oldest one is still running.
        """
        if len(self) < self._limits.max_records:
            self._is_full = False
            return
        key, oldest = next(iter(self._records_by_key.items()))
        age_s = self._clock.now() - oldest.created_at
        if oldest.state is ClaimState.CLAIMED or age_s <= self._limits.horizon_s:
            if not self._is_full:
                self._is_full = True
                emit(ClaimTableFull(len(self)))
            raise ClaimTableFullError(
                f"{len(self)} claim records, the oldest {age_s:.0f} s old",
                step="claim.room",
            )
        self.remove(key)

    def claim(self, key: str, fingerprint: bytes) -> None:
        """Record that `key` is claimed, replacing a seal."""
        self._insert(key, ClaimRecord(fingerprint, ClaimState.CLAIMED, self._now()))

    def finish(self, key: str, answer: CallAnswer) -> None:
        """Record the completion; keep the response unless it is too large."""
        record = self._records_by_key.get(key)
        if record is None or record.state is ClaimState.SEALED:
            return
        record.state = ClaimState.DONE
        self._keep_answer(key, record, answer)

    def mark_unknown(self, key: str) -> None:
        """Record that the claimed request may have run."""
        record = self._records_by_key.get(key)
        if record is not None and record.state is ClaimState.CLAIMED:
            record.state = ClaimState.UNKNOWN

    def remove(self, key: str) -> None:
        """Remove the record of `key`, if any."""
        record = self._records_by_key.pop(key, None)
        if record is not None:
            self._drop_answer(key, record)

    def seal(
        self, key: str, sealer: ProcessRef
    ) -> tuple[tuple[ProcessRef, ...], float]:
        """Promise a key without a claim in this table to `sealer`.

        Returns
        -------
        earlier_sealers : tuple of ProcessRef
            The other processes that the key was promised to before.
        age_s : float
            Time since the last of these promises, 0 without any.

        Raises
        ------
        ClaimTableFullError
            The table is full, or the key would have more than `MAX_SEALERS` sealers.
        """
        record = self._records_by_key.get(key)
        if record is None:
            self._add_sealers(key, (sealer,), self._now())
            return (), 0.0
        age_s = self._now() - record.created_at
        earlier_sealers = tuple(other for other in record.sealers if other != sealer)
        self._add_sealers(key, (sealer,), self._now())
        return earlier_sealers, age_s

    def to_row(self, key: str) -> RecordRow:
        """Return the record of `key` in its wire format."""
        record = self._records_by_key[key]
        return RecordRow(
            key,
            record.fingerprint,
            record.state,
            record.answer,
            self._now() - record.created_at,
            record.sealers,
        )

    def merge(self, row: RecordRow, *, sender: str = "") -> None:
        """Merge a record of another node into the table.

        A merge adds information to the existing record and never removes any.

        Raises
        ------
        ClaimTableFullError
            The table is full, or the key would have more than `MAX_SEALERS` sealers.
        """
        created_at = self._now() - row.age_s
        if row.state is ClaimState.SEALED:
            if self._is_sealed_or_absent(row.key) and row.sealers:
                self._add_sealers(row.key, row.sealers, created_at)
            return
        # The outcome of a request that its former owner left running is unknown.
        state = ClaimState.DONE if row.state is ClaimState.DONE else ClaimState.UNKNOWN
        own = self._records_by_key.get(row.key)
        if own is None or own.state is ClaimState.SEALED:
            record = ClaimRecord(row.fingerprint, state, created_at)
            self._insert(row.key, record)
            if row.answer is not None:
                self._keep_answer(row.key, record, row.answer)
            return
        if state is not ClaimState.DONE:
            return
        if own.state is ClaimState.UNKNOWN and own.fingerprint == row.fingerprint:
            own.state = ClaimState.DONE
            if row.answer is not None:
                self._keep_answer(row.key, own, row.answer)
        elif own.state is ClaimState.CLAIMED or _answers_differ(own.answer, row.answer):
            emit(ClaimConflict(row.key, sender))

    def _now(self) -> float:
        return self._clock.now()

    def _is_sealed_or_absent(self, key: str) -> bool:
        record = self._records_by_key.get(key)
        return record is None or record.state is ClaimState.SEALED

    def _add_sealers(self, key, sealers, created_at) -> None:
        known = self._records_by_key.get(key)
        merged = dict.fromkeys((*(known.sealers if known else ()), *sealers))
        if len(merged) > MAX_SEALERS:
            raise ClaimTableFullError(
                f"more than {MAX_SEALERS} nodes asked for one key", step="claim.seal"
            )
        if known is not None:
            created_at = max(created_at, known.created_at)
        self._insert(
            key,
            ClaimRecord(b"", ClaimState.SEALED, created_at, sealers=tuple(merged)),
        )

    def _insert(self, key: str, record: ClaimRecord) -> None:
        if key in self._records_by_key:
            del self._records_by_key[key]
        else:
            self.ensure_capacity()
        self._records_by_key[key] = record

    def _keep_answer(self, key, record, answer: CallAnswer) -> None:
        is_large = answer_size(answer) > self._limits.max_kept_answer_bytes
        if record.answer is not None or is_large:
            return
        record.answer = answer
        self._answered_keys[key] = None
        self._answers_bytes += answer_memory(answer)
        while self._answers_bytes > self._limits.max_answers_bytes:
            oldest = next(iter(self._answered_keys))
            self._drop_answer(oldest, self._records_by_key[oldest])

    def _drop_answer(self, key: str, record: ClaimRecord) -> None:
        if record.answer is not None:
            self._answers_bytes -= answer_memory(record.answer)
            record.answer = None
            self._answered_keys.pop(key, None)


def _answers_differ(one: CallAnswer | None, other: CallAnswer | None) -> bool:
    if one is None or other is None:
        return False
    return (one.status, one.body) != (other.status, other.body)
