"""Users written from the protocol: retries, polls, cancellations, questions about nothing."""

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
REQUEST_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S, SUBMIT_RETRY_LIMIT_S, CANCEL_RETRY_LIMIT_S = (
    1.0,
    30.0,
    60.0,
    90.0,
)
FINAL_PHASES = ("done", "cancelled")


class UserResponse(NamedTuple):
    status: int  # 0: none came
    row: dict[str, Any]
    retry_after_s: float = 0.0


class ServiceClient(Protocol):
    """The way to the service: a load balancer, or any node."""

    async def request_with_retry_after(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Status, body and ``Retry-After`` (0 if none); NoResponse when none came."""
        ...


@dataclass(slots=True)
class Users:
    client: ServiceClient
    history: History
    rng: Randomness
    poll_s: float = 5.0
    seen_running: int = 0
    on_submitted: Callable[[float, int], None] = lambda latency, status: None
    on_polled: Callable[[float, int], None] = lambda latency, status: None
    final_phases: dict[str, str] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    async def run_job(
        self,
        job: dict[str, Any],
        cancel_after_s: float | None,
        intended_at: float | None = None,
    ) -> None:
        """One job's user, from its submission to its end.

        ``intended`` is when the job should have been sent: latency counts from then.
        """
        uid, began = job["uid"], self._now() if intended_at is None else intended_at
        self.history.add("job", uid=uid, job=job)
        body = orjson.dumps(without_emulator_keys(job))
        answer = await self._request_with_retries("POST", JOBS_PATH, body, SUBMIT_RETRY_LIMIT_S)
        self.on_submitted(self._now() - began, answer.status)
        if answer.status in (400, 422):
            self.history.add("refused", uid=uid, status=answer.status)
        if answer.status not in (200, 201):
            self.history.add("gave_up", uid=uid, status=answer.status)
            return
        self.history.add("accepted", uid=uid, status=answer.status, asked=began)
        self.accepted.add(uid)
        if cancel_after_s is not None:
            await asyncio.sleep(cancel_after_s)
            self.history.add("cancel", uid=uid)
            asked = self._now()
            answer = await self._request_with_retries(
                "POST", f"{JOBS_PATH}/{uid}/cancel", b"{}", CANCEL_RETRY_LIMIT_S
            )
            if answer.status == 200:
                self.record_phase(uid, answer.row, asked)
        await self.poll_repeatedly(uid)

    async def poll_repeatedly(self, uid: str) -> None:
        """Poll until it is over, and seldom after that: the answer must stay."""
        while True:
            factor = 1.0 if self.final_phases.get(uid) is None else 6.0
            await asyncio.sleep(self.poll_s * factor * self.rng.uniform(0.8, 1.2))
            await self.poll(uid)

    async def poll(self, uid: str) -> UserResponse:
        asked = self._now()
        answer = await self.request("GET", f"{JOBS_PATH}/{uid}", None, POLL_TIMEOUT_S)
        self.on_polled(self._now() - asked, answer.status)
        if answer.status == 200:
            self.record_phase(uid, answer.row, asked)
        elif answer.status == 404:
            self.history.add("missing", uid=uid, asked=asked)
        else:
            self.history.add("silent", uid=uid)
        return answer

    async def poll_unknown_job(self, every_s: float) -> None:
        """Asks about jobs that nobody has submitted."""
        while True:
            await asyncio.sleep(every_s)
            await self.poll("job-999999999")

    async def cancel(self, uid: str) -> UserResponse:
        """Asks once; whether its user has asked before is for the caller to note."""
        asked = self._now()
        answer = await self.request(
            "POST", f"{JOBS_PATH}/{uid}/cancel", b"{}", REQUEST_TIMEOUT_S
        )
        if answer.status == 200:
            self.record_phase(uid, answer.row, asked)
        return answer

    async def resubmit(self, job: dict[str, Any]) -> UserResponse:
        """A retry that comes late, even after the job is over."""
        asked = self._now()
        answer = await self.request(
            "POST", JOBS_PATH, orjson.dumps(without_emulator_keys(job)), REQUEST_TIMEOUT_S
        )
        if answer.status in (400, 422):
            self.history.add("refused", uid=job["uid"], status=answer.status)
        elif answer.status in (200, 201):
            self.record_phase(job["uid"], answer.row, asked)
        return answer

    def record_phase(self, uid: str, row: dict[str, Any], asked_at: float) -> None:
        phase = str(row.get("phase"))
        self.history.add("told", uid=uid, phase=phase, asked=asked_at)
        self.seen_running += phase == "running"
        if phase in FINAL_PHASES:
            self.final_phases.setdefault(uid, phase)

    async def _request_with_retries(
        self, method: str, path: str, body: bytes | None, retry_limit_s: float
    ) -> UserResponse:
        """Retry as the protocol lets users do, until it is decided or patience is over."""
        ends = self._now() + retry_limit_s
        while True:
            answer = await self.request(method, path, body, REQUEST_TIMEOUT_S)
            if answer.status in (200, 201, 400, 422) or self._now() >= ends:
                return answer
            pause = max(MIN_RETRY_DELAY_S, min(answer.retry_after_s, MAX_RETRY_DELAY_S))
            await asyncio.sleep(pause * self.rng.uniform(1.0, 1.2))

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> UserResponse:
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
