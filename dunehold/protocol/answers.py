"""Answers that users and operators get alike."""

from __future__ import annotations

from dunehold.protocol import users
from dunehold.transport.http import Response

BUSY = Response(503, users.encode_error("try again later"), retry_after=1)
OUTAGE = Response(503, users.encode_error("the state service does not answer"), retry_after=2)
BAD_METHOD = Response(405, users.encode_error("method not allowed"))
