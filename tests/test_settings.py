"""Settings of a node."""

from pathlib import Path
from tempfile import TemporaryDirectory

import json5
from testtools import TestCase
from testtools.matchers import Contains

from verbenawick.errors import SettingsError
from verbenawick.settings._settings import load_settings

VALID = {
    "node_id": "archivo-1",
    "data_centre": "cali-1",
    "region": "andina",
    "call_address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "admin_address": "127.0.0.1:8003",
    "store": {"address": "127.0.0.1:9000"},
    "upstream": {"address": "127.0.0.1:8004", "service": "archivo", "slots": 12},
}


class SettingsTest(TestCase):
    """Valid files load; errors name the file, the setting and the reason."""

    def load(self, text):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.json5"
            path.write_text(text, encoding="utf-8")
            return load_settings(path)

    def assert_rejected(self, changes, *expected):
        error = self.assertRaises(
            SettingsError, self.load, json5.dumps({**VALID, **changes})
        )
        for text in ("node.json5", *expected):
            self.assertThat(str(error), Contains(text))

    def test_comments_are_allowed(self):
        """Settings files are JSON with comments; guards against a plain JSON parser."""
        text = "// node\n" + json5.dumps(VALID)
        self.assertEqual("archivo-1", self.load(text).node_id)

    def test_invalid_settings_are_rejected_with_path_and_reason(self):
        """Each rule is enforced, and its error names the setting."""
        upstream = VALID["upstream"]
        self.assert_rejected({"colour": 1}, "colour")
        self.assert_rejected({"call_address": "example.org:80"}, "call_address", "IP")
        self.assert_rejected({"call_address": "127.0.0.1:8002"}, "must differ")
        self.assert_rejected({"upstream": {**upstream, "slots": 0}}, "upstream.slots")
        self.assert_rejected({"upstream": {**upstream, "slots": 121}}, "exceed")
        self.assert_rejected({"timing": {"lease_timeout_s": 1}}, "lease_renewal_s")
        self.assert_rejected({"timing": {"authority_s": 9000}}, "takeover_horizon_s")
        self.assert_rejected({"neighbours": ["127.0.0.1:8002"]}, "own peer_address")

    def test_a_repeated_key_is_rejected(self):
        """Guards against silently using the last value of a repeated key."""
        error = self.assertRaises(
            SettingsError, self.load, '{"node_id": 1, "node_id": 2}'
        )
        self.assertThat(str(error), Contains("twice"))

    def test_values_nested_too_deeply_are_a_settings_error(self):
        """Guards against a node that no longer reloads its settings."""
        error = self.assertRaises(SettingsError, self.load, "[" * 5000)
        self.assertThat(str(error), Contains("nested"))

    def test_an_unreadable_file_is_a_settings_error(self):
        """The error for a missing file contains its name."""
        error = self.assertRaises(SettingsError, load_settings, Path("no/such.json5"))
        self.assertThat(str(error), Contains("such.json5"))
