"""Bytes on sockets: HTTP server and client. Knows nothing of jobs or machines."""
