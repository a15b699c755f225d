"""Tests of control tasks and membership with real sockets and the stand-in store."""

from testtools import TestCase

from bench.mesh import MeshPlan, running_mesh


class RealSocketsTest(TestCase):
    """Runs the code of the simulation with processes, sockets and a store."""

    def test_members_agree_after_start_death_outage_and_return(self):
        """Guards against faults that occur only with real links and store clients."""
        plan = MeshPlan(data_centres=2, nodes_per_centre=3, centres_per_region=1)
        with running_mesh(plan) as mesh:
            for centre in range(plan.data_centres):
                mesh.add_worker(plan.centre(centre), mode="tree", seed=1)
            for worker in mesh.workers:
                worker.receive()
            mesh.ask_all(do="start")
            mesh.wait_until(mesh.is_agreed, 40)
            nodes = mesh.describe()
            self.assertEqual(2, sum(n["is_region_relay"] for n in nodes))
            plain = next(n["node"] for n in nodes if not n["is_data_centre_relay"])
            worker = next(w for w in mesh.workers if plain in w.node_ids)
            mesh.set_store_faults(outage=True)
            worker.ask(do="stop", ids=[plain])
            # The region of the node updates its member table without the store; the
            # other region receives the change when the store is back.
            mesh.wait_until(
                lambda: (
                    {n["member_count"] for n in worker.ask(do="describe")["nodes"]}
                    == {5}
                ),
                20,
            )
            mesh.set_store_faults(outage=False)
            mesh.wait_until(mesh.is_agreed, 30)
            worker.ask(do="start", ids=[plain])
            mesh.wait_until(mesh.is_agreed, 30)
            self.assertEqual(6, len(mesh.describe()))
