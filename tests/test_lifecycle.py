"""Tests of the lifecycle of a node."""

from testtools import TestCase
from testtools.matchers import Is

from verbenawick.configuration._lifecycle import Lifecycle, LifecycleState


class LifecycleTest(TestCase):
    """A node must not serve before it holds its floor, or after a drain."""

    def test_serving_needs_floor_then_version(self):
        """A version in force does not start service before the floor is known."""
        lifecycle = Lifecycle()
        lifecycle.enter_service()
        self.assertThat(lifecycle.state, Is(LifecycleState.STARTING))
        lifecycle.confirm_floor()
        self.assertThat(lifecycle.state, Is(LifecycleState.CATCHING_UP))
        lifecycle.enter_service()
        self.assertTrue(lifecycle.is_serving)

    def test_draining_is_final(self):
        """A draining node does not return to service when a new version arrives."""
        for steps in ([], ["confirm_floor"], ["confirm_floor", "enter_service"]):
            lifecycle = Lifecycle()
            for step in steps:
                getattr(lifecycle, step)()
            lifecycle.drain()
            lifecycle.confirm_floor()
            lifecycle.enter_service()
            self.assertThat(lifecycle.state, Is(LifecycleState.DRAINING))
