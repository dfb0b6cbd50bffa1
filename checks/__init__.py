"""pytest plugins of this repository: what the test run itself guarantees."""
