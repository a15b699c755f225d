"""Nested data classes in messages, which the wire format writes as field arrays."""

from typing import Annotated, Any, TypeVar

from pydantic import BeforeValidator
from pydantic_core import ArgsKwargs

T = TypeVar("T")


def _fields_from_array(value: Any) -> Any:
    if isinstance(value, list | tuple):
        return ArgsKwargs(tuple(value))
    return value


Row = Annotated[T, BeforeValidator(_fields_from_array)]
