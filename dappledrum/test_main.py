"""Settings file and command line: errors name the wrong field, unknown fields are ignored."""

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from dappledrum.main import main


def valid_settings():
    return {
        "member": "n-0",
        "location": "here",
        "serve_on": "127.0.0.1:0",
        "back": "127.0.0.1:0",
        "seeds": [],
        "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2", "news": 1},
        "unheard_of": {"x": 1},
        "params": {
            "teams": [{"name": "t", "cpus": 0, "cpus_max": 1.5}],
            "workers": {"report_s": 1, "lease_s": 9, "cancel_s": 30},
            "state": {"rps": 50, "write_rps": 20, "value_kb": 8, "txn_ops": 24},
            "cloud": {"rps": 1.5, "list_lag_s": 8},
        },
    }


def check_settings(tmp_path, settings):
    file = tmp_path / "settings.json"
    file.write_text(settings if isinstance(settings, str) else json.dumps(settings))
    return main(["--config", str(file), "--check"])


def test_valid_settings_with_unknown_fields_are_accepted(tmp_path, capsys):
    assert check_settings(tmp_path, valid_settings()) == 0
    assert "n-0" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("path", "value", "named_field"),
    [
        (("member",), None, "member"),
        (("params", "workers", "lease_s"), "long", "lease_s"),
        (("params", "state", "txn_ops"), 0, "txn_ops"),
        (("params", "state", "next"), {"txn_ops": "few"}, "next.txn_ops"),
        (("params", "teams"), None, "teams"),
        (("external", "state"), "nowhere", "state"),
    ],
)
def test_a_wrong_or_missing_field_is_named(tmp_path, capsys, path, value, named_field):
    settings = valid_settings()
    parent = settings
    for key in path[:-1]:
        parent = parent[key]
    if value is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    assert check_settings(tmp_path, settings) == 2
    error = capsys.readouterr().err
    assert named_field in error
    assert error.count("\n") == 1


def test_a_malformed_or_missing_file_is_refused(tmp_path):
    assert check_settings(tmp_path, "{") == 2
    assert main(["--config", str(tmp_path / "none"), "--check"]) == 2


def test_exit_codes_of_flags():
    for argv, code in (
        (["--version"], 0),
        (["--help"], 0),
        ([], 2),
        (["--config", "x", "--interval-s", "0"], 2),
    ):
        with pytest.raises(SystemExit) as exit_info:
            main(argv)
        assert exit_info.value.code == code


@pytest.mark.parametrize(("mode", "output"), [("checked-hash", "new"), ("unchecked-hash", "old")])
def test_a_start_uses_the_bytecode_unless_the_source_differs(tmp_path, mode, output):
    """Compiling all sources took half of the time of a start. `unchecked-hash`, which the build
    does not use, shows that the bytecode is read."""
    package = tmp_path / "dappledrum"
    package.mkdir()
    shutil.copy(Path(__file__).parents[1] / "run.py", tmp_path)
    (package / "__init__.py").touch()
    (package / "main.py").write_text("def main():\n    print('old')\n")
    compile_args = ["-m", "compileall", "-q", "--invalidation-mode", mode, "dappledrum"]
    env = {**os.environ, "PYTHONPYCACHEPREFIX": "target/pycache"}
    subprocess.run([sys.executable, *compile_args], cwd=tmp_path, env=env, check=True)
    (package / "main.py").write_text("def main():\n    print('new')\n")
    del env["PYTHONPYCACHEPREFIX"]
    result = subprocess.run(
        [sys.executable, "run.py"], cwd=tmp_path, env=env, check=True, capture_output=True
    )
    assert result.stdout.decode().split() == [output]
