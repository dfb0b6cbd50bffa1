"""Marked tests are started first; the order is kept otherwise."""


def test_long_tests_are_started_first(pytester):
    pytester.makeini("[pytest]\nmarkers = long: slow")
    pytester.makepyfile(
        """
        import pytest

        def test_a(): pass
        @pytest.mark.long
        @pytest.mark.parametrize("number", [1, 2])
        def test_b(number): pass
        def test_c(): pass
        @pytest.mark.long
        def test_d(): pass
        """
    )
    result = pytester.runpytest_inprocess("-p", "checks.order", "-n", "0", "--collect-only", "-q")
    collected = [line.partition("::")[2] for line in result.outlines if "::" in line]
    assert collected == ["test_b[1]", "test_b[2]", "test_d", "test_a", "test_c"]
