"""Test modules that are imported on use, or not at all, in separate processes."""

import subprocess
import sys

from testtools import TestCase

DEFERRED = """
import sys
from verbenawick.runtime._deferred_imports import defer_module
defer_module("wave")
defer_module("colorsys", functions=("rgb_to_hsv",))
defer_module("importlib.metadata")
import wave, colorsys, importlib.metadata
from colorsys import rgb_to_hsv
print(type(sys.modules["wave"]).__name__, type(sys.modules["colorsys"]).__name__)
print(wave.WAVE_FORMAT_PCM, rgb_to_hsv(1, 1, 1))
print(importlib.metadata.version("eventlet") != "")
print({type(sys.modules[n]).__name__ for n in ("wave", "colorsys")})
"""
UNAVAILABLE = """
import wave
from verbenawick.runtime._deferred_imports import unavailable_modules
with unavailable_modules(["wave", "colorsys"]):
    import wave
    try:
        import colorsys
    except ImportError as error:
        print(type(error).__name__)
import colorsys
print(colorsys.__name__)
"""


def lines_of(script: str) -> list[str]:
    """Return the lines that a process with this script prints."""
    run = subprocess.run(
        [sys.executable, "-c", script],
        env={"PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    return run.stdout.splitlines()


class DeferredImportsTest(TestCase):
    """Modules in place of others."""

    def test_module_is_imported_when_it_is_used(self):
        self.assertEqual(
            [
                "_DeferredModule _DeferredModule",
                "1 (0.0, 0.0, 1)",
                "True",
                "{'module'}",
            ],
            lines_of(DEFERRED),
        )

    def test_only_modules_without_earlier_import_are_unavailable(self):
        self.assertEqual(["ModuleNotFoundError", "colorsys"], lines_of(UNAVAILABLE))
