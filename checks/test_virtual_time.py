"""Coroutine tests run in virtual time with their fixtures and parameters, and can fail."""


def test_coroutines_run_in_virtual_time(pytester):
    pytester.makepyfile(
        """
        import asyncio
        import pytest

        @pytest.mark.parametrize("seconds", [3_600])
        async def test_an_hour_passes_at_once(seconds, tmp_path):
            loop = asyncio.get_running_loop()
            began = loop.time()
            await asyncio.sleep(seconds)
            assert loop.time() == began + seconds and tmp_path.exists()

        async def test_that_fails():
            assert False

        def test_that_is_no_coroutine():
            with pytest.raises(RuntimeError):
                asyncio.get_running_loop()
        """
    )
    result = pytester.runpytest_inprocess("-p", "checks.virtual_time", "-n", "0")
    result.assert_outcomes(passed=2, failed=1)
