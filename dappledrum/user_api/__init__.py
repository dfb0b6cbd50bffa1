"""What users ask for: submissions, polls and cancellations, served by any controller."""
