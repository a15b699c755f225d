"""Store objects of a change, built and validated before anything is written."""

from dataclasses import dataclass

from verbenawick.configuration._compile import compile_document
from verbenawick.configuration._config_store import HeadState
from verbenawick.configuration._delta import (
    Content,
    Difference,
    diff_documents,
    digest_of,
    encode_delta,
    encode_snapshot,
    find_differences,
)
from verbenawick.configuration._document import parse_document
from verbenawick.configuration._head import (
    MAX_INLINE_DELTA_BYTES,
    Change,
    Head,
    change_key,
    encode_record,
    snapshot_key,
)
from verbenawick.errors import DocumentError
from verbenawick.store._store import MAX_VALUE_BYTES

MAX_SUMMARY_LENGTH = 200
MAX_AUTHOR_LENGTH = 64


@dataclass(frozen=True, slots=True)
class BaseVersion:
    """Accepted version that a change is based on; `content` is empty if none is."""

    state: HeadState
    content: Content


@dataclass(frozen=True, slots=True)
class ChangePlan:
    """A validated change and the store objects to write for it.

    Attributes
    ----------
    deadline : float
        Time after which the change is abandoned. Later its objects could be mistaken
        for those of a killed command and be pruned.
    """

    base: BaseVersion
    head: Head
    change: Change
    snapshot: bytes
    differences: tuple[Difference, ...]
    deadline: float


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of a successful change.

    Attributes
    ----------
    is_new : bool
        False if the document was already accepted, so no version was written.
    """

    version: int
    change_id: str
    preset: str
    is_new: bool
    differences: tuple[Difference, ...] = ()


def build_plan(
    base: BaseVersion,
    content: Content,
    *,
    change_id: str,
    author: str,
    summary: str,
    deadline: float,
) -> ChangePlan:
    """Validate and compile a document and build the objects to write.

    Raises
    ------
    DocumentError
        The document is invalid, or an object exceeds the store's size limit.
    """
    document = parse_document(content)
    content = document.content()
    version = base.state.version + 1
    digest = digest_of(content)
    compile_document(document, version, digest)
    differences = tuple(find_differences(base.content, content))
    change = Change(
        change_id=change_id,
        parent_id=base.state.change_id,
        version=version,
        digest=digest,
        author=author[:MAX_AUTHOR_LENGTH],
        summary=(summary or _summarize(differences))[:MAX_SUMMARY_LENGTH],
        preset=document.preset_in_force,
        delta=encode_delta(diff_documents(base.content, content)),
    )
    plan = ChangePlan(
        base=base,
        head=_build_head(change),
        change=change,
        snapshot=encode_snapshot(content),
        differences=differences,
        deadline=deadline,
    )
    _check_sizes(plan)
    return plan


def _build_head(change: Change) -> Head:
    is_inline = len(change.delta) <= MAX_INLINE_DELTA_BYTES
    return Head(
        version=change.version,
        digest=change.digest,
        change_id=change.change_id,
        author=change.author,
        summary=change.summary,
        preset=change.preset,
        delta=change.delta if is_inline else b"",
        change_key=change_key(change.change_id),
        snapshot_key=snapshot_key(change.change_id),
    )


def _summarize(differences: tuple[Difference, ...]) -> str:
    count = len(differences)
    return f"{count} change{'s' * (count != 1)}: {differences[0].path}"


def _check_sizes(plan: ChangePlan) -> None:
    for name, value in (
        ("change", encode_record(plan.change)),
        ("document", plan.snapshot),
    ):
        if len(value) > MAX_VALUE_BYTES:
            raise DocumentError(
                f"the compressed {name} has {len(value)} bytes, the store's limit is "
                f"{MAX_VALUE_BYTES}; remove entities or split the change",
                path="(top)",
                step="apply.plan",
            )
