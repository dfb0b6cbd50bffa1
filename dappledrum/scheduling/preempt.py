"""Which running tasks have to go so that others, which the protocol lets go before them, can start
in time.

The paper never preempts (3.3, assumption 3); the protocol's guarantees and priorities make it
necessary.
"""

from collections.abc import Hashable, Sequence
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.lanes import Size


class Victim(NamedTuple):
    """A running task that may be stopped."""

    key: Hashable
    size: Size
    lost: timedelta  # work that stopping it would waste


class Host(NamedTuple):
    """A machine with its free room and what may be stopped there."""

    name: str
    free: Size
    victims: Sequence[Victim]


def choose(need: Size, count: int, hosts: Sequence[Host], whole: bool = False) -> list[Hashable]:
    """Victims that make room for so many tasks, each time on the machine where least work is
    wasted.

    What is stopped for one task and leaves more room than needed serves the next ones, too.
    `whole`: for all of them, or nothing is stopped.
    """
    result: list[Hashable] = []
    state = {host.name: (host.free, sorted(host.victims, key=lambda v: v.lost)) for host in hosts}
    for _ in range(count):
        best: tuple[float, int, str] | None = None
        for name, (free, victims) in state.items():
            cost, taken = 0.0, 0
            while free.times(need) < 1 and taken < len(victims):
                free = free.plus(victims[taken].size)
                cost += victims[taken].lost.total_seconds() * max(victims[taken].size.cpus, 0.1)
                taken += 1
            if free.times(need) >= 1 and (best is None or (cost, taken) < best[:2]):
                best = (cost, taken, name)
        if best is None:
            if whole:
                return []
            break
        _, taken, name = best
        free, victims = state[name]
        for victim in victims[:taken]:
            free = free.plus(victim.size)
            result.append(victim.key)
        state[name] = (free.minus(need), victims[taken:])
    return result
