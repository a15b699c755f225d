"""Tests for the distribution of configurations as deltas."""

import json
from dataclasses import replace
from random import Random
from unittest import mock
from zlib import compress

import cbor2
import eventlet
import msgspec
from testtools import TestCase

from tests.call_support import wait_until
from tests.mesh_cluster import MeshCluster, limits, route, service
from verbenawick.errors import DocumentError, VerbenawickError
from verbenawick.links._component import NodeIdentity
from verbenawick.links._messages import decode_message, encode_message
from verbenawick.mesh import _beacons, _document_delta, _followers
from verbenawick.mesh._beacons import Beacons
from verbenawick.mesh._configuration_relay import ConfigurationAnswer, RelayState
from verbenawick.mesh._confirmation import Confirmation
from verbenawick.mesh._document_delta import Document, decode_document, encode_delta
from verbenawick.mesh._endpoints import Endpoints
from verbenawick.mesh._followers import ConfigurationFollower
from verbenawick.mesh._state_store import ConfigurationChange
from verbenawick.platform import _documents
from verbenawick.platform._documents import ConfigurationDecoder, decode_configuration
from verbenawick.platform._objects import decode_stored_configuration
from verbenawick.runtime._clock import MonotonicClock
from verbenawick.runtime._metrics import MetricSet

ROUTES = 1139
REGION_NODES = 28
# A storm changes the configuration every 0.23 s; a link of the leader carries
# 3.5 Mbit/s, most of which is needed for calls.
MAX_BYTES_PER_NODE = 2_000


def grown_resources(random: Random, count: int = ROUTES) -> list[dict]:
    """Return as many routes as a grown deployment has, services and limits."""
    routes = [
        route(
            f"route-{i}-{random.randrange(10**6)}",
            f"/part-{random.randrange(10**6)}/{i}/",
            service=f"service-{i % 4}",
            host=f"host-{i % 7}.example",
        )
        for i in range(count)
    ]
    return [*routes, *(service(f"service-{i}") for i in range(4)), limits()]


def encode_document(version: int, resources: list[dict]) -> bytes:
    """Return a configuration document as the store holds it."""
    return json.dumps({"version": version, "resources": resources}).encode()


def change_resources(resources: list[dict], random: Random) -> list[dict]:
    """Return resources with one random change."""
    changed = json.loads(json.dumps(resources))
    index = random.randrange(len(changed))
    number = random.randrange(10**6)
    kind = random.choice(
        ("add", "change", "remove", "reorder", "duplicate", "service", "limits")
    )
    if kind == "add":
        changed.insert(index, route(f"new-{number}", f"/new-{number}/", service="s"))
    elif kind == "change":
        changed[index]["spec"].update({"timeout_ms": number, "max_body_bytes": number})
    elif kind == "remove" and len(changed) > 1:
        changed.pop(index)
    elif kind == "reorder":
        random.shuffle(changed)
    elif kind == "duplicate":
        copy = json.loads(json.dumps(changed[index]))
        copy["spec"]["priority"] = number
        changed.append(copy)
    elif kind == "service":
        changed.append(service(f"service-{number % 5}"))
        changed[-1]["spec"]["max_connections"] = number
    else:
        changed.insert(index, limits())
        changed[index]["spec"]["max_body_bytes"] = number
    return changed


class DecoderTest(TestCase):
    """Decoding of successive documents."""

    def test_only_changed_resources_are_decoded(self):
        """Decoding 1,139 routes for each version takes milliseconds on every node."""
        resources = grown_resources(Random(1))
        decoder = ConfigurationDecoder()
        decoder.decode(encode_document(1, resources), 1)
        resources[500]["spec"]["timeout_ms"] = 4321
        resources[600]["metadata"]["name"] = "renamed"
        document = encode_document(2, resources)
        with mock.patch.object(
            _documents, "_decode_resource", wraps=_documents._decode_resource
        ) as decode:
            configuration = decoder.decode(document, 2)
        self.assertEqual(2, decode.call_count)
        self.assertTrue(decode_configuration(document, 2) == configuration)

    def test_random_changes_give_the_same_result_as_decoding_everything(self):
        """A reused resource must be the one that the new document states."""
        for seed in range(30):
            random = Random(seed)
            resources = grown_resources(random, 20)
            decoder = ConfigurationDecoder()
            for version in range(1, 30):
                document = encode_document(version, resources)
                self.assertEqual(
                    decode_configuration(document, version),
                    decoder.decode(document, version),
                )
                resources = change_resources(resources, random)

    def test_decoder_continues_after_an_invalid_document(self):
        """Later versions must not suffer from a rejected one."""
        resources = grown_resources(Random(1), 20)
        decoder = ConfigurationDecoder()
        first = decoder.decode(encode_document(1, resources), 1)
        for data in (b"\xff\xfe", b"{}", encode_document(2, [{"resource_type": 1}])):
            self.assertRaises(
                (msgspec.MsgspecError, ValueError), decoder.decode, data, 2
            )
        again = decoder.decode(encode_document(3, resources), 3)
        self.assertEqual(first.routes, again.routes)


class DocumentDeltaTest(TestCase):
    """Deltas between documents of any content."""

    def test_delta_gives_exactly_the_new_document(self):
        """A byte that differs could change how a resource is decoded."""
        documents = [b"", b"{", b"{{", b"a", b"{a{b{a{", b"\xff\x00{\xfe", b"a{b{a"]
        for base in documents:
            for new in documents:
                self.assert_applied(base, new)

    def test_delta_gives_exactly_the_new_document_after_random_edits(self):
        """Edits that cross chunks and repeat parts must not confuse the copies."""
        for seed in range(300):
            random = Random(seed)
            base = bytes(random.choices(b"{ab", k=random.randrange(60)))
            new = bytearray(base)
            for _ in range(random.randrange(4)):
                start, end = sorted(random.choices(range(len(new) + 1), k=2))
                new[start:end] = random.choices(b"{abc", k=random.randrange(9))
            self.assert_applied(base, bytes(new))

    def test_oversized_deltas_are_rejected(self):
        """A few bytes must not make a node run out of memory."""
        base = Document(b"x" * 1_000_000)
        valid = encode_delta(base, base, base_version=1)
        header = valid[: _document_delta._HEADER.size]
        repeated = cbor2.dumps([[0, 1_000_000]] * 1000)
        for body in (compress(repeated), compress(bytes(20_000_000))):
            self.assertRaises(DocumentError, decode_document, base, header + body)

    def test_steps_of_wrong_types_are_rejected(self):
        """A delta of another release must not raise an unexpected exception."""
        base = Document(b"x{y")
        valid = encode_delta(base, base, base_version=1)
        header = valid[: _document_delta._HEADER.size]
        for steps in ([[1]], ["text"], {}, None, [[-5, 2]], [[0, 99]], [[1.5, 2]], []):
            body = compress(cbor2.dumps(steps))
            self.assertRaises(VerbenawickError, decode_document, base, header + body)

    def assert_applied(self, base: bytes, new: bytes):
        delta = encode_delta(Document(base), Document(new), base_version=1)
        self.assertEqual(new, decode_document(Document(base), delta).data)


class FixedStore:
    """Store whose round-trip time is known; the tests supply the changes."""

    round_trip_s = 0.001


class FakeLink:
    """Open link to a node of the region."""

    def __init__(self, node_id: str, region: str):
        self.peer = NodeIdentity(node_id, 1, "s", "dc", region, f"{node_id}:1")


class FakeLinks:
    """Links that encode each message and pass it to the nodes' followers."""

    def __init__(self):
        self.links: list[FakeLink] = []
        self.bytes_by_node_id: dict[str, int] = {}
        self.receive_by_node_id: dict[str, object] = {}
        self.lost_ids: set[str] = set()

    def dialled_links(self):
        return self.links

    def is_silent(self, peer_address):
        return False

    def register_notice(self, message_type, handler):
        pass

    def register_handler(self, message_type, handler):
        pass

    def check(self, link):
        pass

    def notify(self, link, message):
        data = encode_message(message)
        node_id = link.peer.node_id
        self.bytes_by_node_id[node_id] = self.bytes_by_node_id.get(node_id, 0) + len(
            data
        )
        if node_id not in self.lost_ids:
            self.receive_by_node_id[node_id](decode_message(data))


class Region:
    """A relay and followers of its region, without sockets."""

    def __init__(self, *, nodes: int):
        self.links = FakeLinks()
        self.applied_by_node_id: dict[str, list] = {}
        self.queries = 0
        self.relay = self._follower("a-relay", send=True)
        state = self.relay._relay
        self.beacons = Beacons(
            region="north",
            links=self.links,
            endpoints=Endpoints(node_id="a-relay", data_centre="dc", region="north"),
            clock=MonotonicClock(),
            relay=state,
            is_stopping=lambda: False,
        )
        self.beacons.set_follower(self.relay)
        self.followers = [self.add_follower(f"b-{i:02}") for i in range(nodes)]

    def add_follower(self, node_id: str) -> ConfigurationFollower:
        follower = self._follower(node_id)
        self.links.links.append(FakeLink(node_id, "north"))
        self.links.receive_by_node_id[node_id] = lambda beacon: follower.on_beacon(
            "a-relay", beacon
        )
        return follower

    def _follower(self, node_id: str, *, send: bool = False) -> ConfigurationFollower:
        applied = self.applied_by_node_id[node_id] = []

        def apply(configuration):
            applied.append(configuration)
            if send:
                self.beacons.send_if_relay(with_document=True)

        return ConfigurationFollower(
            FixedStore(),
            random=Random(1),
            clock=MonotonicClock(),
            apply=apply,
            relay=RelayState(node_id=node_id),
            is_relay=lambda: send,
            decode=decode_stored_configuration,
            query=self._answer_query,
            confirmation=Confirmation(clock=MonotonicClock(), metrics=MetricSet()),
        )

    def _answer_query(self, node_id: str) -> ConfigurationAnswer:
        self.queries += 1
        answer = self.relay.document_for(1)
        return decode_message(encode_message(answer))

    def store(self, version: int, resources: list[dict]) -> None:
        """Pass a new version to the relay as its watch of the store does."""
        document = encode_document(version, resources)
        configuration = decode_stored_configuration(document, version)
        self.relay._update_from_change(
            ConfigurationChange(version, configuration, document)
        )

    def serve(self, version: int, resources: list[dict]) -> None:
        """Pass a version to all nodes and forget the bytes it took."""
        self.store(version, resources)
        eventlet.sleep(0)
        self.links.bytes_by_node_id.clear()
        self.queries = 0

    def configurations(self) -> list:
        """Return the configuration in force on each follower."""
        return [self.applied_by_node_id[f._relay.node_id][-1] for f in self.followers]


class RegionDeltaTest(TestCase):
    """A relay and the nodes of its region."""

    def setUp(self):
        super().setUp()
        self.random = Random(7)
        self.resources = grown_resources(self.random)

    def change_one_route(self) -> list[dict]:
        changed = json.loads(json.dumps(self.resources))
        changed[self.random.randrange(ROUTES)]["spec"]["timeout_ms"] = 4321
        return changed

    def assert_in_force(self, region: Region, version: int, resources: list[dict]):
        document = encode_document(version, resources)
        expected = decode_stored_configuration(document, version)
        for configuration in region.configurations():
            self.assertEqual(version, configuration.version)
            # A node that received a beacon knows an earlier revision of the store.
            same_revision = replace(configuration, revision=version)
            self.assertTrue(expected == same_revision, "configurations differ")

    def test_change_of_one_route_costs_few_bytes_per_node(self):
        """Whole documents filled the leader's link during a storm of versions."""
        region = Region(nodes=REGION_NODES)
        region.serve(1, self.resources)
        for version in range(2, 8):
            self.resources = self.change_one_route()
            region.store(version, self.resources)
            eventlet.sleep(0)
            self.assert_in_force(region, version, self.resources)
            self.assertEqual(REGION_NODES, len(region.links.bytes_by_node_id))
            self.assertLess(
                max(region.links.bytes_by_node_id.values()), MAX_BYTES_PER_NODE
            )
            self.assertEqual(0, region.queries)
            region.links.bytes_by_node_id.clear()

    def test_random_changes_give_the_same_configuration_as_whole_documents(self):
        """A node that differs from the others would serve calls differently."""
        for seed in range(20):
            random = Random(seed)
            region = Region(nodes=2)
            resources = grown_resources(random, 30)
            region.serve(1, resources)
            for version in range(2, 12):
                resources = change_resources(resources, random)
                region.store(version, resources)
                self.assert_in_force(region, version, resources)
            self.assertEqual(0, region.queries)

    def test_node_without_the_base_fetches_the_whole_document(self):
        """It has just started and would otherwise never catch up."""
        region = Region(nodes=2)
        region.serve(1, self.resources)
        region.followers.append(region.add_follower("c-new"))
        region.store(2, changed := self.change_one_route())
        eventlet.sleep(0)
        self.assertEqual(1, region.queries)
        self.assert_in_force(region, 2, changed)

    def test_node_catches_up_after_a_lost_beacon(self):
        """The next delta does not apply to the version before the lost one."""
        region = Region(nodes=3)
        region.serve(1, self.resources)
        region.links.lost_ids = {"b-01"}
        region.store(2, self.resources)
        region.links.lost_ids = set()
        region.store(3, changed := self.change_one_route())
        eventlet.sleep(0)
        self.assertEqual(1, region.queries)
        self.assert_in_force(region, 3, changed)
        region.store(4, self.resources)
        eventlet.sleep(0)
        self.assertEqual(1, region.queries)
        self.assert_in_force(region, 4, self.resources)

    def test_beacon_after_a_lost_one_makes_the_node_fetch(self):
        """Without a further version the node would stay behind."""
        region = Region(nodes=2)
        region.serve(1, self.resources)
        region.links.lost_ids = {"b-01"}
        region.store(2, changed := self.change_one_route())
        region.links.lost_ids = set()
        region.beacons.send_if_relay()
        eventlet.sleep(0)
        self.assertEqual(1, region.queries)
        self.assert_in_force(region, 2, changed)

    def test_older_delta_is_ignored(self):
        """A node must never return to an older version."""
        region = Region(nodes=1)
        region.serve(1, self.resources)
        sent = []
        with mock.patch.object(
            region.links, "notify", lambda link, message: sent.append(message)
        ):
            region.store(2, self.change_one_route())
        region.store(3, self.resources)
        eventlet.sleep(0)
        region.followers[0].on_beacon("a-relay", sent[0])
        eventlet.sleep(0)
        self.assert_in_force(region, 3, self.resources)
        versions = [c.version for c in region.applied_by_node_id["b-00"]]
        self.assertEqual([1, 3], versions)

    def test_restarted_relay_continues_with_a_whole_document(self):
        """It holds no earlier version that a delta could be based on."""
        region = Region(nodes=2)
        region.serve(1, self.resources)
        region.relay = region._follower("a-relay", send=True)
        region.beacons._relay = region.relay._relay
        region.beacons.set_follower(region.relay)
        region.store(2, changed := self.change_one_route())
        eventlet.sleep(0)
        self.assert_in_force(region, 2, changed)
        region.store(3, self.resources)
        eventlet.sleep(0)
        self.assertEqual(0, region.queries)
        self.assert_in_force(region, 3, self.resources)

    def test_damaged_deltas_make_the_node_fetch_the_whole_document(self):
        """A document with another digest must not be put in force."""
        region = Region(nodes=1)
        region.serve(1, self.resources)
        sent = []
        with mock.patch.object(
            region.links, "notify", lambda link, message: sent.append(message)
        ):
            region.store(2, changed := self.change_one_route())
        delta = sent[0].document
        damaged = [
            delta[:-3],
            delta[:5],
            delta[:-1] + bytes([delta[-1] ^ 1]),
            delta[:30] + bytes([delta[30] ^ 1]) + delta[31:],
            delta[:12] + bytes([delta[12] ^ 1]) + delta[13:],
            delta[:4] + self.random.randbytes(200),
            self.random.randbytes(200),
            b"\xff\xfe",
        ]
        follower = region.followers[0]
        with mock.patch.object(_followers, "emit") as emit:
            for document in damaged:
                before = emit.call_count
                follower._update_from_document(document, 2)
                self.assertEqual(before + 1, emit.call_count)
        self.assertEqual(1, len(region.applied_by_node_id["b-00"]))
        self.assertEqual(1, follower.beacon.version)
        beacon = decode_message(encode_message(sent[0]))
        object.__setattr__(beacon, "document", damaged[2])
        follower.on_beacon("a-relay", beacon)
        eventlet.sleep(0)
        self.assertEqual(1, region.queries)
        self.assert_in_force(region, 2, changed)

    def test_delta_of_an_invalid_document_is_not_put_in_force(self):
        """A document that is no configuration must not replace the one in force."""
        region = Region(nodes=1)
        region.serve(1, self.resources)
        follower = region.followers[0]
        for data in (b"\xff\xfe\x00garbage", b"", b"[]", b'{"version": 2}'):
            delta = encode_delta(region.relay._document, Document(data), base_version=1)
            follower._update_from_document(delta, 2)
        self.assertEqual(1, len(region.applied_by_node_id["b-00"]))
        region.store(3, changed := self.change_one_route())
        eventlet.sleep(0)
        self.assertEqual(0, region.queries)
        self.assert_in_force(region, 3, changed)

    def test_each_version_is_logged_once_by_the_node_that_forwards_it(self):
        """On-call engineers need to see what a version costs the leader's link."""
        region = Region(nodes=3)
        region.store(1, self.resources)
        links, region.links.links = region.links.links, []
        with mock.patch.object(_beacons, "emit") as emit:
            region.store(2, self.resources)
        self.assertEqual([], emit.call_args_list)
        region.links.links = links
        with mock.patch.object(_beacons, "emit") as emit:
            region.store(3, self.change_one_route())
            region.beacons.send_if_relay()
            region.beacons.send_if_relay(with_document=True)
        (event,) = [call.args[0] for call in emit.call_args_list]
        self.assertEqual((3, 2), (event.version, event.base))
        self.assertEqual((3, "delta"), (event.nodes, event.kind))
        self.assertLess(event.bytes, 3 * MAX_BYTES_PER_NODE)


class ClusterDeltaTest(TestCase):
    """Nodes in two regions on the stand-in platform."""

    def setUp(self):
        super().setUp()
        self.cluster = MeshCluster()
        self.addCleanup(self.cluster.close)
        self.random = Random(3)
        self.resources = grown_resources(self.random, 200)[:-1]
        self.cluster.configure(*self.resources)
        self.nodes = [
            self.cluster.add_node("service-1", region=region)
            for region in ("south", "north", "south", "north")
        ]
        self.cluster.wait_ready()
        eventlet.sleep(2.6)  # until the initial store watches have returned

    def change_and_wait(self):
        self.resources[self.random.randrange(200)]["spec"]["timeout_ms"] += 1
        version = self.cluster.configure(*self.resources)
        # A node that has just started has no configuration yet.
        wait_until(
            lambda: all(
                getattr(n.server.node.entry.configuration, "version", 0) == version
                for n in self.nodes
            ),
            2.0,
        )

    def test_deltas_reach_all_regions_without_queries(self):
        """A leader forwards the delta before it has applied it itself."""
        with (
            mock.patch.object(Beacons, "query", autospec=True) as query,
            mock.patch.object(_beacons, "emit") as emit,
        ):
            for _ in range(3):
                self.change_and_wait()
        self.assertEqual(0, query.call_count)
        kinds = [call.args[0].kind for call in emit.call_args_list]
        self.assertEqual({"delta"}, set(kinds))
        self.assertEqual(6, len(kinds))

    def test_versions_are_in_force_in_time_around_a_restart_of_the_relay(self):
        """The new relay and the restarted one have other bases than their nodes."""
        (relay,) = [n for n in self.nodes if n.server.node._beacons.is_relay()]
        self.change_and_wait()
        self.cluster.restart_node(relay)
        for _ in range(4):
            self.change_and_wait()
        expected = self.nodes[0].server.node.entry.configuration
        for node in self.nodes:
            configuration = node.server.node.entry.configuration
            self.assertEqual(expected.routes, configuration.routes)
