"""Health of zones, limits on renting in them, fair shares and urgency of jobs."""
