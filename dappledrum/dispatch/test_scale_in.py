"""Tests the spare capacity of spot machines that lets on-demand machines retire."""

from types import SimpleNamespace

import pytest

from dappledrum.dispatch.scale_in import SPOT_HEADROOM, ScaleIn
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Size
from dappledrum.timing.clock import seconds

CPUS = 16.0
NOW = seconds(1_000)


def spare_cpus(available_until, booting=False):
    """Spare CPUs of one empty spot machine that is available until the given moment."""
    machine_type = SimpleNamespace(cpus=CPUS, gpus=0.0, memory_gb=64.0)
    autoscaler = SimpleNamespace(types={"large": machine_type})
    machines = SimpleNamespace(sizes={Size(2.0, 0.0, 2.0)})
    timeline = MachineTimeline(
        *(
            "m",
            InstanceKind("large", "a", True),
            Size(CPUS, 0.0, 64.0),
            NOW,
            NOW,
            1.0,
            1.0,
            seconds(60),
        ),
        available_until=available_until,
        booting=booting,
    )
    context = SimpleNamespace(jobs={}, registry=None, autoscaler=autoscaler, params=None)
    return ScaleIn(context, machines)._spare_spot_cpus([timeline])


@pytest.mark.parametrize(
    ("available_until", "booting", "expected"),
    [
        (None, False, CPUS * (1 - SPOT_HEADROOM)),
        (NOW + seconds(20), False, 0.0),
        (None, True, 0.0),
    ],
    ids=["up", "about to be taken", "booting"],
)
def test_only_running_spot_machines_that_are_not_being_reclaimed_have_spare_cpus(
    available_until, booting, expected
):
    assert spare_cpus(available_until, booting) == pytest.approx(expected)
