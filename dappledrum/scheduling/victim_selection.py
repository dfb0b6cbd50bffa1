"""Chooses running tasks to stop so that more urgent tasks can start in time.

The paper never preempts (3.3, assumption 3); the guarantees and priorities of the protocol require
it.
"""

from collections.abc import Hashable, Sequence
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.timeline import Size


class Victim(NamedTuple):
    """A running task that may be stopped."""

    key: Hashable
    size: Size
    lost: timedelta  # work that is lost if it is stopped


class Host(NamedTuple):
    """A machine with its free resources and the tasks that may be stopped there."""

    name: str
    free: Size
    victims: Sequence[Victim]


def choose_victims(
    need: Size, count: int, hosts: Sequence[Host], whole: bool = False
) -> list[Hashable]:
    """Victims to stop so that `count` tasks of size `need` fit, each time on the machine where the
    least work is lost.

    Resources that a stopped task frees beyond what one task needs are used for the next ones. With
    `whole`, room is made for all `count` tasks or nothing is stopped.
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
