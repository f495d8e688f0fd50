"""Renting machines from the cloud, listing them and returning them."""
