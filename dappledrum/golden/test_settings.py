"""Golden bytes of the settings file that a controller reads."""

import pytest

from dappledrum.golden.entries import load
from dappledrum.settings import (
    CloudLimits,
    External,
    MachineLimits,
    NextLimits,
    Objective,
    Params,
    Peer,
    Settings,
    StoreLimits,
    Team,
    WorkerLimits,
)
from dappledrum.settings import load as load_settings

GOLDEN = load("settings")

SETTINGS = {
    "settings-all-fields": Settings(
        member="drummer-0",
        zone="a",
        serve_on="10.1.0.1:8000",
        back="10.1.0.1:8001",
        seeds=[Peer(member="drummer-1", zone="b", address="10.1.0.2:8001")],
        external=External(cloud="10.1.0.3:9001", state="10.1.0.4:9002"),
        params=Params(
            teams=[Team(name="blue", cpus=4.0, cpus_max=8.0, gpus=1.0, gpus_max=2.0)],
            workers=WorkerLimits(report_s=2.0, lease_s=20.0, cancel_s=30.0),
            state=StoreLimits(
                rps=200.0,
                write_rps=100.0,
                value_kb=16.0,
                txn_ops=64,
                next=NextLimits(rps=150.0, write_rps=75.0, value_kb=8.0, txn_ops=32),
            ),
            cloud=CloudLimits(rps=4.0, list_lag_s=5.0),
            zones=["a", "b"],
            objectives=[
                Objective(kind="finished", share=0.95, job_class="train", within_s=60.0, times=1.5)
            ],
            machine_limits=MachineLimits(cpu=2.0, memory_mb=512.0, max_sockets=900),
            clock_off_ms=250.0,
        ),
    ),
    "settings-required-fields": Settings(
        member="drummer-0",
        zone="a",
        serve_on="10.1.0.1:8000",
        back="10.1.0.1:8001",
        external=External(cloud="10.1.0.3:9001", state="10.1.0.4:9002"),
        params=Params(
            teams=[Team(name="blue")],
            workers=WorkerLimits(report_s=2.0, lease_s=20.0, cancel_s=30.0),
            state=StoreLimits(rps=200.0, write_rps=100.0, value_kb=16.0, txn_ops=64),
            cloud=CloudLimits(rps=4.0, list_lag_s=5.0),
        ),
    ),
}


def test_each_entry_is_covered():
    assert set(GOLDEN) == set(SETTINGS)


@pytest.mark.parametrize("name", SETTINGS)
def test_golden_settings_are_read(name, tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(GOLDEN[name].data)
    assert load_settings(path) == SETTINGS[name]
