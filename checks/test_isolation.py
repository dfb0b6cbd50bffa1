"""A test that disables logging does not affect later tests in the same process."""

PLUGIN = "checks.isolation"


def test_logging_is_enabled_again_in_the_next_test(pytester):
    pytester.makepyfile(
        """
        import logging

        def test_of_a_command_line_tool():
            logging.disable(logging.CRITICAL)

        def test_of_a_log_line(caplog):
            logging.warning("seen")
            assert "seen" in caplog.text
        """
    )
    pytester.runpytest_inprocess("-p", PLUGIN, "-n", "0").assert_outcomes(passed=2)
