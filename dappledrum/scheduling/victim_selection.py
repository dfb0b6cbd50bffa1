"""Chooses running tasks to stop so that more urgent tasks can start in time.

The paper never preempts (section 3.3, assumption 3), but the guarantees and priorities of the
protocol require it.
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
    needed: Size, count: int, hosts: Sequence[Host], all_or_none: bool = False
) -> list[Hashable]:
    """Victims to stop so that `count` tasks of size `needed` fit, each on the machine where the
    least work is lost for it.

    Resources that a stopped task frees beyond what one task needs are used for the next ones. With
    `all_or_none`, nothing is stopped unless all `count` tasks fit.
    """
    result: list[Hashable] = []
    state = {host.name: (host.free, sorted(host.victims, key=lambda v: v.lost)) for host in hosts}
    for _ in range(count):
        best: tuple[float, int, str] | None = None
        for name, (free, victims) in state.items():
            cost, victim_count = 0.0, 0
            while free.fit_count(needed) < 1 and victim_count < len(victims):
                free = free.plus(victims[victim_count].size)
                cost += victims[victim_count].lost.total_seconds() * max(
                    victims[victim_count].size.cpus, 0.1
                )
                victim_count += 1
            if free.fit_count(needed) >= 1 and (best is None or (cost, victim_count) < best[:2]):
                best = (cost, victim_count, name)
        if best is None:
            if all_or_none:
                return []
            break
        _, victim_count, name = best
        free, victims = state[name]
        for victim in victims[:victim_count]:
            free = free.plus(victim.size)
            result.append(victim.key)
        state[name] = (free.minus(needed), victims[victim_count:])
    return result
