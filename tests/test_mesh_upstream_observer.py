"""Tests of the evidence about the process at the address of an upstream."""

import eventlet
from testtools import TestCase

from standins.platform_upstream import StandinPlatformUpstream
from tests.call_support import wait_until
from verbenawick.mesh._health_probe import HealthProbe
from verbenawick.mesh._model import MeshConfiguration, ServiceSpec
from verbenawick.mesh._upstream_channels import UpstreamChannels
from verbenawick.mesh._upstream_observer import UpstreamObserver
from verbenawick.platform._calls import PlatformUpstreamProtocol
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet


class UpstreamObserverTest(TestCase):
    """An upstream that leaves, ends or closes its connections."""

    def setUp(self):
        super().setUp()
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        protocol = PlatformUpstreamProtocol()
        clock = MonotonicClock()
        host, port = self.listener.getsockname()
        self.channels = UpstreamChannels(
            f"{host}:{port}",
            max_channels=2,
            id_header=protocol.id_header,
            clock=clock,
            metrics=MetricSet(),
        )
        configuration = MeshConfiguration(1, 1, (), {"s": ServiceSpec("s")})
        probe = HealthProbe(
            channels=self.channels,
            protocol=protocol,
            clock=clock,
            configuration=lambda: configuration,
        )
        self.observer = UpstreamObserver(self.channels, probe)

    def test_watched_process_runs_until_its_connection_ends(self):
        """Guards against a late report that is taken for one of a later process."""
        self.assertFalse(self.observer.is_watched_process_running())
        self.observer.watch_process()
        connection, _ = self.listener.accept()
        self.assertTrue(self.observer.is_watched_process_running())
        connection.close()
        wait_until(lambda: not self.observer.is_watched_process_running(), 1)

    def test_watch_keeps_one_channel(self):
        """Guards against channels that an upstream lacks for requests."""
        for _ in range(3):
            self.observer.watch_process()
            self.assertEqual(1, self.channels.open_count)
        self.observer.stop_watching()
        self.assertEqual(0, self.channels.open_count)

    def test_process_without_a_listener_does_not_run(self):
        """Guards against an upstream that waits for the end of one that has ended."""
        self.listener.close()
        self.observer.watch_process()
        self.assertFalse(self.observer.is_watched_process_running())

    def test_only_a_healthy_process_with_the_id_is_healthy(self):
        """Guards against calls to an upstream that leaves, or to another one."""
        upstream = StandinPlatformUpstream("u1", "s")
        server = eventlet.spawn(upstream.serve, self.listener)
        self.addCleanup(server.kill)
        self.assertTrue(self.observer.is_healthy("u1", "s"))
        self.assertFalse(self.observer.is_healthy("u2", "s"))
        self.assertFalse(self.observer.is_healthy("u1", "unknown"))
        upstream.is_healthy = False
        self.assertFalse(self.observer.is_healthy("u1", "s"))
