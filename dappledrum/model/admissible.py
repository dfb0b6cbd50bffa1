"""Decides which submissions a controller must refuse, independently of the service's own code."""

import re
from collections.abc import Iterable
from typing import Any

from dappledrum.model.history import RefusalReason

TEXT_FIELDS = ("id", "pattern", "crew", "form", "urgency", "skin")
AMOUNT_FIELDS = (
    "vcpus",
    "accelerators",
    "memGb",
    "pullGb",
    "expectedS",
    "markEveryS",
    "markTakeS",
)
FLAG_FIELDS = ("oneZone", "spread", "loaners")
FORMS = ("batch", "service", "ensemble")
PRIORITIES = ("prod", "high", "standard", "best_effort")
MAX_TASKS = 100_000
JOB_ID = re.compile(r"j-[0-9]+")


def refusal_reason(
    spec: object, types: Iterable[dict[str, Any]], limits: dict[str, tuple[float, float]]
) -> RefusalReason | None:
    """The reason why a submission must be refused, or None if it must be accepted.

    `limits` holds the maximum CPUs and GPUs of each team; 0 means no limit.
    """
    if not isinstance(spec, dict) or not _is_complete(spec):
        return RefusalReason.INCOMPLETE
    if spec["crew"] not in limits or not any(_fits_empty_machine(spec, kind) for kind in types):
        return RefusalReason.UNFIT
    concurrent_tasks = 1 if spec["form"] == "batch" else spec["beats"]
    max_cpus, max_gpus = limits[spec["crew"]]
    for amount, limit in ((spec["vcpus"], max_cpus), (spec["accelerators"], max_gpus)):
        if limit > 0 and amount * concurrent_tasks > limit + 1e-9:
            return RefusalReason.UNFIT
    return None


def _is_complete(spec: dict[str, Any]) -> bool:
    return (
        all(isinstance(spec.get(name), str) and spec[name] for name in TEXT_FIELDS)
        and all(_is_amount(spec.get(name)) for name in AMOUNT_FIELDS)
        and all(isinstance(spec.get(name), bool) for name in FLAG_FIELDS)
        and spec["form"] in FORMS
        and spec["urgency"] in PRIORITIES
        and type(spec.get("beats")) is int
        and 1 <= spec["beats"] <= MAX_TASKS
        and JOB_ID.fullmatch(spec["id"]) is not None
        and all(_is_name_list(spec.get(name)) for name in ("builds", "waitsOn"))
        and isinstance(spec.get("hall"), str | None)
        and (spec.get("dueS") is None or _is_amount(spec["dueS"]))
    )


def _is_name_list(value: object) -> bool:
    """Whether the value is a list of strings, or absent."""
    return value is None or (
        isinstance(value, list) and all(isinstance(name, str) for name in value)
    )


def _is_amount(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value >= 0


def _fits_empty_machine(spec: dict[str, Any], kind: dict[str, Any]) -> bool:
    """Whether an empty machine of this type can run a task of the job."""
    if spec.get("builds") is not None and kind["label"] not in spec["builds"]:
        return False
    if spec.get("hall") is not None and spec["hall"] not in kind["halls"]:
        return False
    return all(spec[field] <= kind[field] for field in ("vcpus", "accelerators", "memGb"))
