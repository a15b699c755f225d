"""The stand-in of the platform's store, where tests rely on its order of things."""

import eventlet
from eventlet.patcher import original
from testtools import TestCase

from standins.platform_store import StandinPlatformStore

KIND = "config"


class WatchTest(TestCase):
    """A watch that returns has told every change up to its revision."""

    def watch_across(self, wait_s, change):
        """Return the answer of a watch whose timeout is due when `change` is made."""
        store = StandinPlatformStore()
        watching = eventlet.spawn(store._watch, KIND, store.revision, wait_s)
        eventlet.sleep(0)
        # Blocks the hub, so that timeout and change are due in the same round.
        original("time").sleep(wait_s + 0.01)
        change(store)
        return watching.wait()

    def test_change_at_the_moment_of_the_timeout_is_told(self):
        """The follower goes on from the revision and would never hear of it."""
        status, answer = self.watch_across(
            0.01, lambda store: store.put(KIND, "main", {"version": 1})
        )
        self.assertEqual(200, status)
        self.assertEqual(1, len(answer["events"]))
        revision = answer["events"][0]["object"]["metadata"]["revision"]
        self.assertEqual(answer["current_rev"], revision)

    def test_history_dropped_at_the_moment_of_the_timeout_is_told(self):
        """An empty answer would make the follower miss what was dropped."""
        status, _ = self.watch_across(0.01, StandinPlatformStore.forget_history)
        self.assertEqual(410, status)
