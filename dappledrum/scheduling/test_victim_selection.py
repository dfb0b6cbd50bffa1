"""Tests the choice of victims against a search over all subsets of running tasks."""

from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.scheduling.timeline import Size
from dappledrum.scheduling.victim_selection import Host, Victim, choose_victims
from dappledrum.timing.clock import seconds

tasks = st.lists(st.tuples(st.integers(1, 4), st.integers(0, 50)), max_size=5)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), tasks), min_size=1, max_size=3), st.integers(1, 6))
def test_room_is_made_when_it_can_be_and_only_then(rows, need):
    hosts = [
        Host(
            str(i),
            Size(free, 0, 99),
            [
                Victim((i, j), Size(cpus, 0, 1), seconds(lost))
                for j, (cpus, lost) in enumerate(running)
            ],
        )
        for i, (free, running) in enumerate(rows)
    ]
    chosen = choose_victims(Size(need, 0, 1), 1, hosts)
    possible = [
        set(some)
        for host in hosts
        for size in range(len(host.victims) + 1)
        for some in combinations([v.key for v in host.victims], size)
        if host.free.cpus + sum(v.size.cpus for v in host.victims if v.key in some) >= need
    ]
    if not possible:
        assert chosen == []
    else:
        assert set(chosen) in possible
        assert not any(not option for option in possible) or not chosen
