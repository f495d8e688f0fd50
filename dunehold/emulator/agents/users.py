"""Users as the protocol describes them: submissions, retries, polls and cancellations.

What users send and receive is recorded in the history: ``job`` (before the first attempt to
submit it), ``accepted``, ``refused``, ``gave_up``, ``cancel``, ``told`` (a phase was received),
``missing`` (the job is unknown) and ``silent`` (no usable answer).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import orjson

from dunehold.emulator.history import History
from dunehold.emulator.model.base import Randomness
from dunehold.emulator.model.jobs import without_emulator_keys
from dunehold.transport.http import NoResponse

JOBS_PATH = "/v1/jobs"
REQUEST_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 30.0  # a longer Retry-After is cut to this
SUBMIT_RETRY_LIMIT_S = 60.0  # time after which no further retry is sent
CANCEL_RETRY_LIMIT_S = 90.0
FINAL_PHASES = ("done", "cancelled")


class UserResponse(NamedTuple):
    """A response to a user's request."""

    status: int  # HTTP status; 0 means that no usable response came
    row: dict[str, Any]  # the JSON object in its body
    retry_after_s: float = 0.0


class ServiceClient(Protocol):
    """Connection to the controllers, through the load balancer or to a single node."""

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Returns status, body and ``Retry-After`` in seconds (0 if there is none).

        Raises NoResponse when no response came in time.
        """
        ...


@dataclass(slots=True)
class Users:
    """Users of the service, who record in the history what they send and receive."""

    client: ServiceClient
    history: History
    rng: Randomness
    poll_s: float = 5.0  # mean interval between polls of a job that has not ended
    seen_running: int = 0  # answers with the phase ``running``
    # Called with latency in seconds and status (0 if no response came).
    on_submitted: Callable[[float, int], None] = lambda latency, status: None
    on_polled: Callable[[float, int], None] = lambda latency, status: None
    final_phases: dict[str, str] = field(default_factory=dict)  # job id -> first final phase
    accepted: set[str] = field(default_factory=set)  # job ids

    async def run_job(
        self,
        job: dict[str, Any],
        cancel_after_s: float | None,
        intended_at: float | None = None,
    ) -> None:
        """Submits a job, may cancel it, and polls it until the asyncio task is cancelled.

        ``cancel_after_s`` is the time from acceptance to a cancellation, None for no
        cancellation. ``intended_at`` is the time at which the job was due to be sent; its
        latency is counted from then. Without it, latency is counted from the call. Returns
        early when the job is not accepted.
        """
        job_id, started_at = job["uid"], self._now() if intended_at is None else intended_at
        self.history.add("job", uid=job_id, job=job)
        body = orjson.dumps(without_emulator_keys(job))
        answer = await self._request_with_retries("POST", JOBS_PATH, body, SUBMIT_RETRY_LIMIT_S)
        self.on_submitted(self._now() - started_at, answer.status)
        if answer.status in (400, 422):
            self.history.add("refused", uid=job_id, status=answer.status)
        if answer.status not in (200, 201):
            self.history.add("gave_up", uid=job_id, status=answer.status)
            return
        self.history.add("accepted", uid=job_id, status=answer.status, asked=started_at)
        self.accepted.add(job_id)
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            self.history.add("cancel", uid=job_id)
            asked_at = self._now()
            answer = await self._request_with_retries(
                "POST", f"{JOBS_PATH}/{job_id}/cancel", b"{}", CANCEL_RETRY_LIMIT_S
            )
            if answer.status == 200:
                self.record_phase(job_id, answer.row, asked_at)
        await self.poll_repeatedly(job_id)

    async def poll_repeatedly(self, job_id: str) -> None:
        """Polls a job until the asyncio task is cancelled.

        Polls continue at a sixth of the rate after a final phase, as the checker verifies that
        the answer does not change any more.
        """
        while True:
            factor = 1.0 if self.final_phases.get(job_id) is None else 6.0
            await asyncio.sleep(self.poll_s * factor * self.rng.uniform(0.8, 1.2))
            await self.poll(job_id)

    async def poll(self, job_id: str) -> UserResponse:
        """Requests the phase of a job once and records the answer."""
        asked_at = self._now()
        answer = await self.request("GET", f"{JOBS_PATH}/{job_id}", None, POLL_TIMEOUT_S)
        self.on_polled(self._now() - asked_at, answer.status)
        if answer.status == 200:
            self.record_phase(job_id, answer.row, asked_at)
        elif answer.status == 404:
            self.history.add("missing", uid=job_id, asked=asked_at)
        else:
            self.history.add("silent", uid=job_id)
        return answer

    async def poll_unknown_job(self, every_s: float) -> None:
        """Polls a job that nobody has submitted, every ``every_s`` seconds."""
        while True:
            await asyncio.sleep(every_s)
            await self.poll("job-999999999")

    async def cancel(self, job_id: str) -> UserResponse:
        """Sends a cancellation once; the caller records ``cancel`` in the history."""
        asked_at = self._now()
        answer = await self.request(
            "POST", f"{JOBS_PATH}/{job_id}/cancel", b"{}", REQUEST_TIMEOUT_S
        )
        if answer.status == 200:
            self.record_phase(job_id, answer.row, asked_at)
        return answer

    async def resubmit(self, job: dict[str, Any]) -> UserResponse:
        """Submits a job once more, as a late retry does; its job may have ended already."""
        asked_at = self._now()
        answer = await self.request(
            "POST", JOBS_PATH, orjson.dumps(without_emulator_keys(job)), REQUEST_TIMEOUT_S
        )
        if answer.status in (400, 422):
            self.history.add("refused", uid=job["uid"], status=answer.status)
        elif answer.status in (200, 201):
            self.record_phase(job["uid"], answer.row, asked_at)
        return answer

    def record_phase(self, job_id: str, row: dict[str, Any], asked_at: float) -> None:
        """Records the phase in an answer to a request that was sent at ``asked_at``."""
        phase = str(row.get("phase"))
        self.history.add("told", uid=job_id, phase=phase, asked=asked_at)
        self.seen_running += phase == "running"
        if phase in FINAL_PHASES:
            self.final_phases.setdefault(job_id, phase)

    async def _request_with_retries(
        self, method: str, path: str, body: bytes | None, retry_limit_s: float
    ) -> UserResponse:
        """Sends a request until a decisive answer (200, 201, 400, 422) or the time limit.

        The delay between attempts is the answer's ``Retry-After`` within its bounds. Returns
        the last answer.
        """
        ends_at = self._now() + retry_limit_s
        while True:
            answer = await self.request(method, path, body, REQUEST_TIMEOUT_S)
            if answer.status in (200, 201, 400, 422) or self._now() >= ends_at:
                return answer
            pause = max(MIN_RETRY_DELAY_S, min(answer.retry_after_s, MAX_RETRY_DELAY_S))
            await asyncio.sleep(pause * self.rng.uniform(1.0, 1.2))

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> UserResponse:
        """Sends one request; status 0 stands for no response or a body that is not JSON."""
        try:
            status, data, retry_after_s = await self.client.request_with_retry_after(
                method, path, body, timeout_s
            )
            row = orjson.loads(data or b"{}")
        except (NoResponse, orjson.JSONDecodeError):
            return UserResponse(0, {})
        return UserResponse(status, row if isinstance(row, dict) else {}, retry_after_s)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
