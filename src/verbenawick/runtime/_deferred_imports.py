"""Imports that libraries make and that a node never uses.

A deferred module is imported when it is first used; an unavailable one raises
`ImportError` while it is declared so, for which the libraries have a substitute.
"""

import sys
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType


class _DeferredModule(ModuleType):
    """Takes the place of a module until one of its attributes is read."""

    def __getattr__(self, name: str):
        # Read by each import from the module, also of a deferred function.
        if name == "__path__":
            raise AttributeError(name)
        return getattr(_import_in_place_of(self), name)


def defer_module(name: str, *, functions: Iterable[str] = ()) -> None:
    """Import a module only when it is used, unless it has been imported.

    Parameters
    ----------
    name : str
        A module whose submodules only it imports.
    functions : iterable of str
        Functions that libraries read on import; the module is imported when one of
        them is called.
    """
    if name in sys.modules:
        return
    module = _DeferredModule(name)
    for function in functions:
        setattr(module, function, _defer_function(module, function))
    sys.modules[name] = module
    # An import statement with a dotted name reads the module from its package.
    package, _, attribute = name.rpartition(".")
    if package:
        setattr(import_module(package), attribute, module)


@contextmanager
def unavailable_modules(names: Iterable[str]) -> Iterator[None]:
    """Let imports of modules that have not been imported yet fail."""
    blocked = [name for name in names if name not in sys.modules]
    sys.modules.update(dict.fromkeys(blocked))
    try:
        yield
    finally:
        for name in blocked:
            del sys.modules[name]


def _import_in_place_of(module: _DeferredModule) -> ModuleType:
    name = module.__name__
    if sys.modules.get(name) is module:
        del sys.modules[name]
    return import_module(name)


def _defer_function(module: _DeferredModule, name: str) -> Callable:
    def call(*arguments, **options):
        return getattr(_import_in_place_of(module), name)(*arguments, **options)

    return call
