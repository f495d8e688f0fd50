"""Leader election: connectivity, the renewal of worker leases, and relays for cut-off zones."""
