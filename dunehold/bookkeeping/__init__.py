"""Durable records in the state service, and the leader's account of hosts and attempts."""
