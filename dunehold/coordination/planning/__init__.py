"""Estimates and the inputs of the scheduler and the autoscaler, built from jobs and hosts."""
