"""Which submissions the protocol lets a controller accept, written apart from the service."""

import re
from collections.abc import Iterable
from typing import Any

from dappledrum.model.history import Fault

TEXTS = ("id", "pattern", "crew", "form", "urgency", "skin")
AMOUNTS = ("vcpus", "accelerators", "memGb", "pullGb", "expectedS", "markEveryS", "markTakeS")
FLAGS = ("oneZone", "spread", "loaners")
FORMS = ("batch", "service", "ensemble")
PRIORITIES = ("prod", "high", "standard", "best_effort")
MAX_TASKS = 100_000
JOB_ID = re.compile(r"j-[0-9]+")


def fault(
    spec: object, types: Iterable[dict[str, Any]], limits: dict[str, tuple[float, float]]
) -> Fault | None:
    """Why a submission must be refused, given the machine types and each team's limits."""
    if not isinstance(spec, dict) or not _complete(spec):
        return Fault.INCOMPLETE
    if spec["crew"] not in limits or not any(_fits(spec, kind) for kind in types):
        return Fault.UNFIT
    at_once = 1 if spec["form"] == "batch" else spec["beats"]
    most_cpus, most_gpus = limits[spec["crew"]]
    for amount, most in ((spec["vcpus"], most_cpus), (spec["accelerators"], most_gpus)):
        if most > 0 and amount * at_once > most + 1e-9:
            return Fault.UNFIT
    return None


def _complete(spec: dict[str, Any]) -> bool:
    return (
        all(isinstance(spec.get(name), str) and spec[name] for name in TEXTS)
        and all(_number(spec.get(name)) for name in AMOUNTS)
        and all(isinstance(spec.get(name), bool) for name in FLAGS)
        and spec["form"] in FORMS
        and spec["urgency"] in PRIORITIES
        and type(spec.get("beats")) is int
        and 1 <= spec["beats"] <= MAX_TASKS
        and JOB_ID.fullmatch(spec["id"]) is not None
        and all(_names(spec.get(name)) for name in ("builds", "waitsOn"))
        and isinstance(spec.get("hall"), str | None)
        and (spec.get("dueS") is None or _number(spec["dueS"]))
    )


def _names(value: object) -> bool:
    """A list of names, or nothing."""
    return value is None or (
        isinstance(value, list) and all(isinstance(name, str) for name in value)
    )


def _number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value >= 0


def _fits(spec: dict[str, Any], kind: dict[str, Any]) -> bool:
    """Whether an empty machine of this type could run a task."""
    if spec.get("builds") is not None and kind["label"] not in spec["builds"]:
        return False
    if spec.get("hall") is not None and spec["hall"] not in kind["halls"]:
        return False
    return all(spec[wire] <= kind[wire] for wire in ("vcpus", "accelerators", "memGb"))
