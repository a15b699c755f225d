"""Randomised tests of distribution, floor and status with injected faults.

Set `VERBENAWICK_RANDOM_SEEDS=100-200` and `VERBENAWICK_RANDOM_STEPS=5000` for longer
runs.
"""

import os
from random import Random

from loguru import logger
from testtools import TestCase

from tests.memory_mesh import HEAD, MemoryMesh, document
from verbenawick.configuration._config_state import PRESET_IDS, withhold_routes

NODE_IDS = ("a1x", "a1y", "a1z", "a2x", "a2y", "b1x", "b1y", "b1z")
SEEDS = range(1, 6)
STEPS = 1500
MEMBER_TIMEOUT_S = 4.0
SETTLE_S = 20.0


class Driver:
    """Applies random operations and checks the invariants after each one."""

    def __init__(self, seed: int):
        self.random = Random(seed)
        self.mesh = MemoryMesh(random=Random(seed + 1))
        self.steps: list[str] = []
        self.highest_served: dict[str, int] = {}
        self.silent_since: dict[str, float] = {}
        self.known_services = {"base"}
        for node_id in NODE_IDS:
            self.mesh.start(node_id)
        self.accept()
        self.elect_missing()
        self.mesh.run(5.0)
        self.operations = {
            self.deliver: 60,
            self.tick: 20,
            self.accept: 4,
            self.watch: 4,
            self.duplicate: 3,
            self.drop_message: 1,
            self.watch_stale: 2,
            self.pause: 0.4,
            self.resume: 1,
            self.kill: 0.5,
            self.kill_relay: 0.4,
            self.restart: 3,
            self.restart_newest: 4,
            self.elect_missing: 2,
            self.break_next_version: 0.3,
            self.set_faults: 1,
            self.partition_regions: 0.5,
        }

    def run(self, steps: int) -> None:
        """Run `steps` operations, then clear all faults and check convergence."""
        choices, weights = zip(*self.operations.items(), strict=True)
        for _ in range(steps):
            operation = self.random.choices(choices, weights)[0]
            self.steps.append(f"{operation.__name__}{operation() or ''}")
            self.check()
        self.settle()

    # Operations; each returns a suffix for the list of steps, or None

    def deliver(self):
        for _ in range(self.random.choice((1, 3, 10, 40))):
            if item := self._take_item():
                item.deliver()
                self.check()

    def tick(self):
        for _ in range(self.random.choice((1, 1, 1, 3))):
            self.mesh.refresh_roles()
            self.mesh.tick(deliver=False)
            self._drop_silent_members()
            self.check()

    def accept(self):
        if self.mesh.store.is_down:
            return " refused"
        routes = {f"r{i}": "base" for i in range(self.random.randint(1, 4))}
        if self.random.random() < 0.3:
            routes["w"] = "nobody"
        preset = self.random.choice(sorted(PRESET_IDS))
        inline = self.random.random() < 0.7
        return self.mesh.store.accept(document(routes, preset), inline=inline)

    def watch(self):
        self.mesh.watch_all()

    def watch_stale(self):
        older = self.random.choice(self.mesh.store.history[HEAD])
        for node in self.mesh.nodes_by_id.values():
            if node.roles.holds_region:
                self.mesh.deliver_object(node, older)

    def duplicate(self):
        # Store responses are never duplicated, since the client returns each only once.
        messages = [item for item in self.mesh.queue if item.message is not None]
        if messages:
            self.mesh.queue.append(self.random.choice(messages))

    def drop_message(self):
        if self.mesh.queue:
            item = self.random.choice(self.mesh.queue)
            if item.message is not None:
                self.mesh.queue.remove(item)

    def pause(self):
        node_id = self._choose(lambda node: not node.is_paused)
        if node_id:
            self.mesh.pause(node_id)
            self.silent_since[node_id] = self.mesh.clock.now()
            return node_id

    def resume(self):
        node_id = self._choose(lambda node: node.is_paused)
        if node_id:
            self._resume(node_id)
            return node_id

    def kill(self):
        return self._kill(self._choose(lambda node: True))

    def kill_relay(self):
        return self._kill(self._choose(lambda node: node.roles.holds_data_centre))

    def restart_newest(self):
        """Restart a node that serves a later version than others of its data centre."""
        versions = self.mesh.served_versions()
        ahead = [
            node_id
            for node_id, version in sorted(versions.items())
            if version > min(v for i, v in versions.items() if i[:2] == node_id[:2])
        ]
        if ahead:
            node_id = self.random.choice(ahead)
            self._kill(node_id)
            self.mesh.start(node_id)
            self.silent_since.pop(node_id, None)
            return node_id

    def restart(self):
        dead = [i for i in NODE_IDS if i not in self.mesh.nodes_by_id]
        if dead:
            node_id = self.random.choice(dead)
            self.mesh.start(node_id)
            self.silent_since.pop(node_id, None)
            return node_id

    def elect_missing(self):
        """Elect a relay for each lease without a holder or with a silent one."""
        if self.mesh.store.is_down:
            return " refused"
        for dc in sorted({i[:2] for i in NODE_IDS}):
            running = [
                i
                for i, node in self.mesh.nodes_by_id.items()
                if i[:2] == dc and not node.is_paused
            ]
            is_cut = dc[0] in self.mesh.cut_regions and dc[0] != "a"
            holder = self.mesh.relays_by_data_centre.get(dc)
            if running and not is_cut and self._is_silent(holder):
                self.mesh.elect(self.random.choice(running))
        for region in sorted({i[0] for i in NODE_IDS}):
            holder = self.mesh.relays_by_region.get(region)
            relays = [
                i
                for dc, i in self.mesh.relays_by_data_centre.items()
                if dc[0] == region and not self.mesh.nodes_by_id[i].is_paused
            ]
            is_cut = region in self.mesh.cut_regions and region != "a"
            if relays and not is_cut and self._is_silent(holder):
                self.mesh.elect(self.random.choice(relays), region=True)

    def break_next_version(self):
        node_id = self._choose(lambda node: True)
        if node_id:
            version = len(self.mesh.store.accepted) + 1
            self.mesh.nodes_by_id[node_id].codec.broken_versions.add(version)
            return node_id

    def set_faults(self):
        store = self.mesh.store
        store.is_down = self.random.random() < 0.2
        store.loses_answers = self.random.random() < 0.2
        store.is_stale = self.random.random() < 0.2
        return f" {store.is_down} {store.loses_answers} {store.is_stale}"

    def partition_regions(self):
        cut = self.random.choice((set(), set(), {"a"}, {"b"}))
        self.mesh.cut_regions = cut
        return f" {cut}"

    # Invariants of section 1.3 of the design

    def check(self) -> None:
        for node_id, node in self.mesh.nodes_by_id.items():
            table = node.distribution.table
            if table is None:
                continue
            version, highest = table.version, self.highest_served.get(node_id, 0)
            assert version >= highest, f"1: {node_id} {highest} -> {version}"
            self.highest_served[node_id] = version
            accepted = self.mesh.store.accepted
            assert version <= len(accepted), f"9: {node_id} {version} not accepted"
            content = accepted[version - 1]
            codec = self.mesh.node_codec
            whole = codec.compile(
                content, version=version, digest=codec.digest_of(content)
            )
            expected, _ = withhold_routes(whole, frozenset(self.known_services))
            assert table == expected, f"2, 3: {node_id} {table} is not {expected}"
            assert table.preset == content["preset"], f"10: {node_id}"

    def settle(self) -> None:
        """Clear all faults and check that all nodes serve the latest version."""
        mesh, store = self.mesh, self.mesh.store
        store.is_down = store.loses_answers = store.is_stale = False
        mesh.cut_regions = set()
        for node_id in NODE_IDS:
            if node_id not in mesh.nodes_by_id:
                mesh.start(node_id)
            elif mesh.nodes_by_id[node_id].is_paused:
                self._resume(node_id)
        for node in mesh.nodes_by_id.values():
            node.codec.broken_versions.clear()
        self.silent_since.clear()
        self.elect_missing()
        self.accept()
        mesh.refresh_roles()
        mesh.watch_all()
        for _ in range(round(SETTLE_S * 10)):
            mesh.tick()
            self.check()
        expected = dict.fromkeys(NODE_IDS, len(store.accepted))
        assert mesh.served_versions() == expected, f"9: {mesh.served_versions()}"
        for region in ("a", "b"):
            relay = mesh.nodes_by_id[mesh.relays_by_region[region]]
            status = relay.status.region_status()
            count = sum(node_id[0] == region for node_id in NODE_IDS)
            assert status.counts_by_version == {len(store.accepted): count}, status

    # Helpers

    def _take_item(self):
        ready = [
            item
            for item in self.mesh.queue
            if not self._is_paused(item.receiver)
        ]  # fmt: skip
        if not ready:
            return None
        # Deliver mostly in order, but sometimes ahead of many other messages.
        index = 0 if self.random.random() < 0.7 else self.random.randrange(len(ready))
        item = ready[index]
        self.mesh.queue.remove(item)
        return item

    def _is_paused(self, node_id: str) -> bool:
        node = self.mesh.nodes_by_id.get(node_id)
        return node is not None and node.is_paused

    def _choose(self, condition):
        ids = [
            i for i, node in sorted(self.mesh.nodes_by_id.items()) if condition(node)
        ]
        return self.random.choice(ids) if ids else None

    def _kill(self, node_id):
        if node_id:
            self.mesh.kill(node_id)
            self.silent_since.setdefault(node_id, self.mesh.clock.now())
        return node_id

    def _resume(self, node_id: str) -> None:
        self.mesh.resume(node_id)
        self.mesh.rejoin(node_id)
        self.silent_since.pop(node_id, None)

    def _is_silent(self, node_id) -> bool:
        if node_id is None:
            return True
        since = self.silent_since.get(node_id)
        return since is not None and self._is_timed_out(since)

    def _is_timed_out(self, since: float) -> bool:
        return self.mesh.clock.now() - since > MEMBER_TIMEOUT_S

    def _drop_silent_members(self) -> None:
        for node_id, since in self.silent_since.items():
            if self._is_timed_out(since):
                self.mesh.members.members_by_id.pop(node_id, None)


class RandomisedDistributionTest(TestCase):
    """Tests of invariants 1, 2, 3, 9 and 10 under combinations of faults."""

    def test_invariants_hold_and_versions_converge(self):
        """Invariants hold under random faults, and nodes converge afterwards."""
        first, _, last = os.environ.get("VERBENAWICK_RANDOM_SEEDS", "").partition("-")
        seeds = range(int(first), int(last or first) + 1) if first else SEEDS
        steps = int(os.environ.get("VERBENAWICK_RANDOM_STEPS", STEPS))
        logger.disable("verbenawick")
        self.addCleanup(logger.enable, "verbenawick")
        for seed in seeds:
            driver = Driver(seed)
            try:
                driver.run(steps)
            except AssertionError as error:
                last_steps = "\n".join(driver.steps[-40:])
                self.fail(
                    f"seed {seed}, step {len(driver.steps)} of {steps}: {error}\n"
                    f"last steps:\n{last_steps}"
                )
