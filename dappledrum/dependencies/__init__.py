"""Dependencies between jobs: when dependent jobs are released or cancelled."""
