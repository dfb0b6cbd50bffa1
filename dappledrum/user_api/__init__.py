"""API for users: submissions, polls and cancellations of jobs, served by every controller."""
