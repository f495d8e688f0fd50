"""HTTP server and client, admission of connections, and rate limiting.

Nothing here depends on jobs or machines.
"""
