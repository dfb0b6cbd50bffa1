"""Settings and command line: what is wrong is named, what is unknown is ignored."""

import json
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from dappledrum.main import main


def good():
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


def check(tmp_path, settings):
    file = tmp_path / "settings.json"
    file.write_text(settings if isinstance(settings, str) else json.dumps(settings))
    return main(["--config", str(file), "--check"])


def test_good_settings_with_unknown_fields(tmp_path, capsys):
    assert check(tmp_path, good()) == 0
    assert "n-0" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("member",), None, "member"),
        (("params", "workers", "lease_s"), "long", "lease_s"),
        (("params", "state", "txn_ops"), 0, "txn_ops"),
        (("params", "state", "next"), {"txn_ops": "few"}, "next.txn_ops"),
        (("params", "teams"), None, "teams"),
        (("external", "state"), "nowhere", "state"),
    ],
)
def test_a_wrong_or_missing_field_is_named(tmp_path, capsys, path, value, named):
    settings = good()
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    if value is None:
        del inner[path[-1]]
    else:
        inner[path[-1]] = value
    assert check(tmp_path, settings) == 2
    error = capsys.readouterr().err
    assert named in error and error.count("\n") == 1


def test_a_file_that_is_no_json_or_not_there(tmp_path, capsys):
    assert check(tmp_path, "{") == 2
    assert main(["--config", str(tmp_path / "none"), "--check"]) == 2


def test_version_and_bad_flags(capsys):
    for argv, code in (
        (["--version"], 0),
        (["--help"], 0),
        ([], 2),
        (["--config", "x", "--interval-s", "0"], 2),
    ):
        with pytest.raises(SystemExit) as ended:
            main(argv)
        assert ended.value.code == code


@pytest.mark.parametrize(("mode", "told"), [("checked-hash", "new"), ("unchecked-hash", "old")])
def test_a_start_uses_the_bytecode_of_the_build_unless_the_source_is_another(tmp_path, mode, told):
    """Compiling everything anew was half of what a start costs; the second mode, which is not the
    build's, shows that it is not done."""
    own = tmp_path / "dappledrum"
    own.mkdir()
    shutil.copy(Path(__file__).parents[1] / "run.py", tmp_path)
    (own / "__init__.py").touch()
    (own / "main.py").write_text("def main():\n    print('old')\n")
    compiling = ["-m", "compileall", "-q", "--invalidation-mode", mode, "dappledrum"]
    env = {**os.environ, "PYTHONPYCACHEPREFIX": "target/pycache"}
    subprocess.run([sys.executable, *compiling], cwd=tmp_path, env=env, check=True)
    (own / "main.py").write_text("def main():\n    print('new')\n")
    del env["PYTHONPYCACHEPREFIX"]
    ran = subprocess.run(
        [sys.executable, "run.py"], cwd=tmp_path, env=env, check=True, capture_output=True
    )
    assert ran.stdout.decode().split() == [told]
