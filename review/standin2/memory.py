"""The memory limit of the platform, which kills and restarts a larger process."""

import asyncio
from collections import Counter

SAMPLE_INTERVAL_S = 0.05


class MemoryLimit:
    """Kills node processes that exceed the memory of their machine.

    Attributes
    ----------
    kills_by_node_id : Counter
        How often each node's process was killed.
    peak_mb_by_node_id : dict of str to float
        Largest resident memory seen.
    """

    def __init__(self, world, memory_mb: float):
        self._world = world
        self._memory_mb = memory_mb
        self.kills_by_node_id: Counter = Counter()
        self.peak_mb_by_node_id: dict[str, float] = {}

    async def run(self) -> None:
        """Sample all processes until the task is cancelled."""
        while True:
            for machine in self._world.machines:
                resident_mb = machine.memory_mb()
                peak_mb = self.peak_mb_by_node_id.get(machine.node_id, 0.0)
                self.peak_mb_by_node_id[machine.node_id] = max(peak_mb, resident_mb)
                if resident_mb > self._memory_mb:
                    await self._kill(machine, resident_mb)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _kill(self, machine, resident_mb: float) -> None:
        self.kills_by_node_id[machine.node_id] += 1
        self._world.record(
            "killed for its memory",
            node=machine.node_id,
            resident_mb=round(resident_mb),
            limit_mb=self._memory_mb,
        )
        await machine.restart()

    def breaks_rule(self) -> bool:
        """Return whether two machines had three such ends; see `Fault` in RULES.md."""
        often = [n for n, count in self.kills_by_node_id.items() if count >= 3]
        share = len(often) / len(self._world.machines)
        return len(often) >= 2 and share >= 0.1
