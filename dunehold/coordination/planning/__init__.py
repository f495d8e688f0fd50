"""What is known of jobs and machines, as the scheduler and the autoscaler read it."""
