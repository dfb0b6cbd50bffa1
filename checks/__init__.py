"""pytest plugins that this repository loads for every test run."""
