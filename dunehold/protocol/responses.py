"""Responses that are the same for users and operators."""

from __future__ import annotations

from dunehold.protocol import users
from dunehold.transport.http import Response

TRY_AGAIN_LATER = Response(503, users.encode_error("try again later"), retry_after=1)
STATE_UNAVAILABLE = Response(
    503, users.encode_error("the state service does not answer"), retry_after=2
)
METHOD_NOT_ALLOWED = Response(405, users.encode_error("method not allowed"))
