"""A head that is cancelled by a controller which doesn't lead, whoever has written it before."""

import json

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.jobs.cancelled_head import cancelled_head
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import JobRecord
from dappledrum.jobs.page_encoding import load_page, page_changes
from dappledrum.model.stored_heads import JOB, contents, heads, old_fields

CURRENT_BYTES = 8 * 1024
short = settings(max_examples=150, derandomize=True, deadline=None)
reduced_limits = st.just(2 * 1024) | st.integers(2 * 1024, CURRENT_BYTES)


def by_key(changes):
    return {change.key: bytes(change.value) for change in changes}


def largest(changes):
    """Size of the largest value in the form in which the simulated store keeps it."""
    forms = (json.dumps(json.loads(value), separators=(",", ":")) for value in changes.values())
    return max(map(len, forms))


def leader_writes(record, max_bytes, max_part_bytes):
    """The values that a leader writes after it has read this head."""
    job = Job(record, 1)
    load_page(job.page(0), record.page, 1)
    return by_key(page_changes(job.page(0), max_bytes, max_part_bytes))


@short
@given(heads(CURRENT_BYTES), reduced_limits)
def test_a_cancellation_fits_and_changes_nothing_else(record, reduced):
    """Invariant: a head that any version has stored under the current limit can be cancelled under
    the reduced one, and says the same of the job as before."""
    stored = {head_key(JOB): msgspec.json.encode(record)}
    before = contents(stored)
    changes = by_key(cancelled_head(record, reduced, reduced))
    assert largest(changes) <= reduced
    after = stored | changes
    assert contents(after) == before
    assert msgspec.json.decode(after[head_key(JOB)], type=JobRecord).cancelled


@short
@given(heads(CURRENT_BYTES), reduced_limits)
def test_a_leader_leaves_room_for_a_cancellation_of_any_version(record, reduced):
    """Invariant: what a leader writes under the reduced limit has room for the cancellation of a
    controller that writes the head back in one value, also in the form of version 0.2.0."""
    values = leader_writes(record, reduced, reduced)
    head = msgspec.json.decode(values[head_key(JOB)], type=JobRecord)
    for fields in (old_fields(head), msgspec.to_builtins(head)):
        written = json.dumps(fields | {"cancelled": True}, separators=(",", ":"))
        assert len(written) <= reduced


@short
@given(heads(CURRENT_BYTES), reduced_limits, reduced_limits)
def test_a_head_in_parts_can_be_cancelled_under_a_lower_limit(record, first, second):
    """Invariant: the same holds for a head that a leader has split already, under a limit that
    later drops again."""
    values = leader_writes(record, first, first)
    before = contents(values)
    head = msgspec.json.decode(values[head_key(JOB)], type=JobRecord)
    lower = min(first, second)
    changes = by_key(cancelled_head(head, lower, lower))
    assert largest(changes) <= lower
    assert not changes.keys() & (values.keys() - {head_key(JOB)})
    assert contents(values | changes) == before
