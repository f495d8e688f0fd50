"""What any node does for users: accept, answer and cancel, by guarded transactions."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from dunehold.bookkeeping import records
from dunehold.bookkeeping.ledger import host_allowed
from dunehold.bookkeeping.records import JobRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.persistence.sync import STATE_SERVICE_ERRORS, ViewSync
from dunehold.coordination.users.submissions import SubmissionQueue
from dunehold.protocol import users
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.responses import METHOD_NOT_ALLOWED, STATE_UNAVAILABLE, TRY_AGAIN_LATER
from dunehold.protocol.state import RequestPriority, StateClient, Txn
from dunehold.protocol.users import JobSpec
from dunehold.settings import Settings
from dunehold.transport.http import Request, Response
from dunehold.types import JobId, JobKind, JobPhase, TypeName, WallTime

log = logging.getLogger(__name__)

MAX_QUERY_S = 2.0  # after the question: nobody waits any longer, and proofs have aged
MAX_SUBMIT_QUEUE_S = 0.5  # for the write budget; who would wait longer is told at once
MAX_ACCEPTANCE_AGE_S = (
    0.2  # an acceptance that took longer is told with what has become of the job since
)
NOT_FOUND = Response(404, users.encode_error("no such job"))
MAX_RETRY_S = 10
MAX_CANCEL_QUEUE_S = 3  # of the 5 s that a user waits
MAX_CANCEL_ATTEMPTS = 4


class Unschedulable(Exception):
    """The job can never run, with the reason."""


def check_schedulable(
    spec: JobSpec, settings: Settings, types: dict[TypeName, MachineType]
) -> None:
    """Raise Impossible when no fleet could ever run the job."""
    team = settings.teams.get(spec.team)
    if team is None:
        raise Unschedulable(f"owner: unknown team {spec.team}")
    count = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    need = spec.need
    for name, limit, amount in (
        ("vcpus", team.limit_cpus, need.cpus),
        ("gpus", team.limit_gpus, need.gpus),
    ):
        if limit is not None and amount * count > limit + 1e-6:
            raise Unschedulable(f"{name}: more than the team's limit")
    zones = set()
    for kind in types.values():
        for zone in kind.zones:
            if host_allowed(spec, kind.name, zone, False) and kind.capacity.holds(need):
                zones.add(zone)
    if not zones:
        raise Unschedulable("a task fits no allowed machine type")
    if spec.spread and spec.tasks > 1 and len(zones) < 2 and spec.kind is not JobKind.ARRAY:
        raise Unschedulable("spread: only one zone is possible")
    if spec.spread and spec.one_zone and spec.tasks > 1 and spec.kind is not JobKind.ARRAY:
        raise Unschedulable("spread: contradicts together")


@dataclass(slots=True)
class JobApi:
    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    machine_types: Callable[[], dict[TypeName, MachineType] | None]
    count_running: Callable[[JobId], Awaitable[int]]
    wall: Callable[[], float]
    submissions: SubmissionQueue

    async def handle(self, request: Request) -> Response | None:
        """The answer to a user's request, or None when it is not a user's."""
        path = request.path
        if path == users.JOBS_PATH:
            return (
                await self._submit(request.body)
                if request.method == "POST"
                else METHOD_NOT_ALLOWED
            )
        if not path.startswith(users.JOBS_PATH + "/"):
            return None
        name, _, action = path[len(users.JOBS_PATH) + 1 :].partition("/")
        if not users.valid_job_id(name):
            return NOT_FOUND  # nobody can have submitted it
        job = JobId(name)
        if action == "":
            return await self._get(job) if request.method == "GET" else METHOD_NOT_ALLOWED
        if action == users.CANCEL_SUFFIX:
            return await self._cancel(job) if request.method == "POST" else METHOD_NOT_ALLOWED
        return NOT_FOUND

    # -- queries -------------------------------------------------------------------

    async def _get(self, job: JobId) -> Response:
        """Whatever is awaited comes before the proof, and the record is read after it: guards
        against an answer that is older than what this or another node has said meanwhile."""
        asked = asyncio.get_running_loop().time()
        record = self.view.jobs.get(job)
        if record is not None and record.phase.final:
            return self._describe(record, 0)
        if self.sync.failing():
            return STATE_UNAVAILABLE
        running = await self.count_running(job)  # for display, and a second old at most
        try:
            await self.sync.barrier()
        except STATE_SERVICE_ERRORS:
            return TRY_AGAIN_LATER  # what can't be proved is never a 404
        record = self.view.jobs.get(job)
        if record is None:
            return NOT_FOUND
        if not record.phase.final and asyncio.get_running_loop().time() - asked > MAX_QUERY_S:
            # The process may have stood still between the proof and this line, while
            # another node told the user that the job is over.
            return TRY_AGAIN_LATER
        return self._describe(record, running)

    @staticmethod
    def _describe(record: JobRecord, running: int) -> Response:
        done, phase = record.done_count(), "running" if running else "queued"
        if record.phase is JobPhase.CANCELLED:
            running, phase = 0, "cancelled"
        elif record.phase is JobPhase.DONE:
            done, running, phase = record.tasks, 0, "done"
        return Response(200, users.encode_state(record.id, phase, done, running))

    # -- submissions -----------------------------------------------------------------

    async def _submit(self, body: bytes) -> Response:
        try:
            spec = users.decode_job(body)
        except BadMessage as error:
            return await self._refuse(users.decode_job_id(body), 400, str(error))
        if spec.id in self.view.jobs:
            return await self._get(spec.id)
        types = self.machine_types()
        if types is None:
            return TRY_AGAIN_LATER
        if self.sync.failing():
            return STATE_UNAVAILABLE
        try:
            check_schedulable(spec, self.settings, types)
        except Unschedulable as error:
            return await self._refuse(spec.id, 422, str(error))
        at = WallTime(round(self.wall(), 3))
        if self.submissions.too_large(spec, at):
            most = self.settings.value_bytes
            return await self._refuse(spec.id, 422, f"takes more than {most} bytes")
        if spec.dependencies:
            refused = await self._check_dependencies(spec)
            if refused is not None:
                return refused
        queued_s = self.submissions.wait_s()
        if self.submissions.full() or queued_s > MAX_SUBMIT_QUEUE_S:
            later = min(MAX_RETRY_S, math.ceil(queued_s))
            return Response(503, users.encode_error("too many at once"), retry_after=later)
        created, asked = await self.submissions.submit(spec, at)
        if created is None:
            return TRY_AGAIN_LATER
        if not created:
            return await self._get(spec.id)
        log.info(
            "job %s accepted: %s %s, %d tasks of %g cpus",
            spec.id,
            spec.team,
            spec.job_class,
            spec.tasks,
            spec.need.cpus,
        )
        record = self.view.jobs.get(spec.id)
        if asyncio.get_running_loop().time() - asked > MAX_ACCEPTANCE_AGE_S or (
            record is not None and record.phase.final
        ):
            # Durable for a while before the answer came: another node may have found it, and
            # its user may have heard of more than an acceptance.
            return await self._get(spec.id)
        return Response(201, users.encode_state(spec.id, "queued"))

    async def _refuse(self, job: JobId | None, status: int, reason: str) -> Response:
        """Another node may have accepted this id: then that stands, whatever is sent now."""
        known = None if job is None else await self._find_after_barrier(job)
        return known or Response(status, users.encode_error(reason))

    async def _check_dependencies(self, spec: JobSpec) -> Response | None:
        """Why it can't be accepted with what it names, or None.

        Only a proof sent after the question shows that a job is unknown: another node may
        have accepted it a moment ago, in a pack as well.
        """
        if self._unknown_dependencies(spec):
            known = await self._find_after_barrier(spec.id)
            if known is not None:
                return known
            if any(
                self.submissions.is_pending(job) for job in self._unknown_dependencies(spec)
            ):
                return TRY_AGAIN_LATER  # about to be accepted here
            if unknown := self._unknown_dependencies(spec):
                reason = f"awaits: {unknown[0]} was never accepted"
                return Response(422, users.encode_error(reason))
        for job in spec.dependencies:
            other = self.view.jobs[job].spec
            if other is not None and other.kind is JobKind.SERVICE:
                # Never done: whoever waits for it would wait for ever.
                return await self._refuse(spec.id, 422, f"awaits: {job} is a service")
        return None

    async def _find_after_barrier(self, job: JobId) -> Response | None:
        """Its state where it is accepted; 503 where nobody can tell; None: it is not known."""
        if job in self.view.jobs:
            return await self._get(job)
        if self.sync.failing():
            return STATE_UNAVAILABLE
        try:
            await self.sync.barrier()
        except STATE_SERVICE_ERRORS:
            return TRY_AGAIN_LATER
        return await self._get(job) if job in self.view.jobs else None

    def _unknown_dependencies(self, spec: JobSpec) -> list[JobId]:
        return [job for job in spec.dependencies if job not in self.view.jobs]

    # -- cancellations -----------------------------------------------------------------

    async def _cancel(self, job: JobId) -> Response:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            record = self.view.jobs.get(job)
            if self.sync.failing() and (record is None or not record.phase.final):
                return STATE_UNAVAILABLE
            try:
                if record is None:
                    await self.sync.barrier()
                    record = self.view.jobs.get(job)
                    if record is None:
                        return NOT_FOUND
                if record.phase is not JobPhase.ACTIVE:
                    return Response(200, users.encode_state(job, record.phase.value))
                assert record.spec is not None
                later = math.ceil(self.state.write_limiter.wait_s(1.0, RequestPriority.CANCEL))
                if later > MAX_CANCEL_QUEUE_S:
                    reason = users.encode_error("too many at once")
                    return Response(503, reason, retry_after=min(MAX_RETRY_S, later))
                key = records.job_key(job)
                value = records.encode_cancelled(record, self.settings.value_bytes)
                # The job's version guards against calling a job cancelled that is done.
                txn = Txn(guards={key: record.version}, puts={key: value})
                result = await self.state.txn(txn, RequestPriority.CANCEL)
                if result.ok:
                    log.info("job %s cancelled by its user", job)
                    if record.batch_key is None:
                        return Response(200, users.encode_state(job, "cancelled"))
                # The end of a job that came in a pack has no key that a cancellation could
                # be guarded by: whichever was first stands.
                await self.sync.barrier()
            except STATE_SERVICE_ERRORS:
                return TRY_AGAIN_LATER
        return TRY_AGAIN_LATER
