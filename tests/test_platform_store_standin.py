"""Tests of the guarantees of the platform store stand-in that other tests rely on."""

import eventlet
from eventlet.patcher import original
from testtools import TestCase

from standins.platform_store import StandinPlatformStore

KIND = "config"


class WatchTest(TestCase):
    """A watch response has all changes up to its revision."""

    def watch_with_change_at_timeout(self, wait_s, change):
        """Return the response of a watch whose timeout coincides with `change`."""
        store = StandinPlatformStore()
        watching = eventlet.spawn(store._watch, KIND, store.revision, wait_s)
        eventlet.sleep(0)
        # Block the hub, so that it handles the timeout and the change in one round.
        original("time").sleep(wait_s + 0.01)
        change(store)
        return watching.wait()

    def test_change_that_coincides_with_the_timeout_is_returned(self):
        """Guards against a response with the revision of a change but not its event.

        The follower continues from that revision and would never see the change.
        """
        status, response = self.watch_with_change_at_timeout(
            0.01, lambda store: store.put(KIND, "main", {"version": 1})
        )
        self.assertEqual(200, status)
        self.assertEqual(1, len(response["events"]))
        revision = response["events"][0]["object"]["metadata"]["revision"]
        self.assertEqual(response["current_rev"], revision)

    def test_compaction_that_coincides_with_the_timeout_is_reported(self):
        """Guards against an empty response, which hides the dropped changes."""
        status, _ = self.watch_with_change_at_timeout(
            0.01, StandinPlatformStore.compact_history
        )
        self.assertEqual(410, status)
