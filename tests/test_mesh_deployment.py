"""Tests of what a node needs on its VM."""

import subprocess
import sys
from pathlib import Path

from testtools import TestCase

REQUIREMENTS = Path(__file__).parent.parent / "deploy" / "requirements.txt"
# Modules whose package has another name.
PACKAGES_BY_MODULE = {"dns": "dnspython"}
LIST_MODULES = """
import sys
from pathlib import Path
loaded_at_start = set(sys.modules)
import verbenawick.platform._daemon
for name, module in sys.modules.items():
    path = getattr(module, "__file__", None) or ""
    if name in loaded_at_start or "." in name:
        continue
    if "site-packages" in Path(path).parts:
        print(name)
"""


class DeploymentTest(TestCase):
    """The packages installed on each VM."""

    def test_node_imports_only_deployed_packages(self):
        """A node that imports another package of the project does not start."""
        deployed = {
            line.partition("==")[0].replace("-", "_")
            for line in REQUIREMENTS.read_text().splitlines()
        }
        result = subprocess.run(
            [sys.executable, "-c", LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
        )
        imported = set(result.stdout.split()) - {"verbenawick"}
        self.assertIn("msgspec", imported)
        packages = {PACKAGES_BY_MODULE.get(name, name) for name in imported}
        self.assertEqual(set(), packages - deployed)
