"""The controller: leader election, scheduling, the fleet, maintenance and the users' API."""
