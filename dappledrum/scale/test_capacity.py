"""Line fits, and docs/CAPACITY.md, which must hold the tables that the reports give."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.scale.capacity import (
    DIRECTORY,
    MIN_SIZES,
    NEEDS,
    PAGE_END,
    PAGE_START,
    Hardware,
    fit,
    load,
    page_tables,
    rows,
)

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
NUMBERS = st.floats(-1e3, 1e3)


@settings(derandomize=True)
@given(NUMBERS, NUMBERS, st.sets(st.integers(1, 10_000), min_size=2, max_size=6))
def test_a_line_is_found_again(slope, intercept, sizes):
    line = fit((size, intercept + slope * size) for size in sizes)
    assert line.slope == pytest.approx(slope, abs=1e-4)
    assert line.at(500) == pytest.approx(intercept + slope * 500, rel=1e-4, abs=1e-1)
    assert line.residual < 1e-3 or abs(slope) + abs(intercept) < 1


def test_readings_off_the_line_give_a_residual_and_a_flat_line_reaches_no_limit():
    line = fit([(0, 0.0), (1, 1.0), (2, 4.0)])
    assert line.residual == pytest.approx(1 / 3 / 4 * 2)
    assert fit([(1, 2.0), (2, 2.0)]).reaches(3.0) is None


def test_fit_of_readings_at_one_size_is_an_error():
    with pytest.raises(ValueError, match="two sizes"):
        fit([(100, 1.0), (100, 2.0)])


def test_error_of_a_malformed_report_names_its_file(tmp_path):
    (tmp_path / "scale-1.json").write_text("{}")
    with pytest.raises(ValueError, match=r"scale-1\.json"):
        load(tmp_path)


def test_capacity_page_holds_the_tables_computed_from_the_reports():
    reports = load(DIRECTORY)
    assert len({report.workers for report in reports}) >= MIN_SIZES
    assert not any(report.rules_broken for report in reports)
    text = PAGE.read_text(encoding="utf-8")
    assert text[text.index(PAGE_START) + len(PAGE_START) : text.index(PAGE_END)].strip() == (
        page_tables(reports).strip()
    )


def test_scaled_hardware_changes_the_limits_except_for_worker_traffic():
    reports = load(DIRECTORY)
    half, twice = Hardware().scaled(0.5), Hardware().scaled(2.0)
    assert half.worker_bytes == twice.worker_bytes
    assert len(rows(reports, half)) == len(rows(reports, twice)) == len(NEEDS)
    assert rows(reports, half) != rows(reports, twice)
