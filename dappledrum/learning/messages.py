"""Stored form of the learned values; versions before 0.4.0 neither read nor change it."""

from typing import Annotated

import msgspec
from msgspec import Meta

Finite = Annotated[float, Meta(ge=-1e9, le=1e9)]
Weight = Annotated[float, Meta(ge=0, le=1e9)]
Label = Annotated[str, Meta(min_length=1, max_length=200)]


class ClassRow(msgspec.Struct, array_like=True):
    """Logarithm of the ratio of actual to estimated run time of a class: number of values, mean,
    and sum of the squared differences from the mean."""

    job_class: Label
    count: Weight
    mean: Finite
    square: Weight


class BootRow(msgspec.Struct, array_like=True):
    """A completed boot."""

    type: Label
    zone: Label
    spot: bool
    took_s: Annotated[float, Meta(gt=0, le=1e6)]
    up_at_ms: int


class LearnedRecord(msgspec.Struct, omit_defaults=True):
    """Value of the key `learned`; it is advisory, without it a leader starts with the priors."""

    classes: list[ClassRow] = []
    boots: list[BootRow] = []
