"""The users' API: submit, query and cancel jobs.

Any node answers. Nodes do not coordinate with each other: each change is a guarded transaction
of the state service, and an answer that must not be stale follows a read barrier.
"""

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
from dunehold.types import EPSILON, JobId, JobKind, JobPhase, TypeName, WallTime

log = logging.getLogger(__name__)

# From a query to its answer. After that the user no longer waits, and the proof that the view
# is current is too old.
MAX_QUERY_S = 2.0
# Expected wait for the write rate limiter above which a submission gets status 503 at once.
MAX_SUBMIT_QUEUE_S = 0.5
# If writing a job took longer, the answer is the job's current state instead of an acceptance.
MAX_ACCEPTANCE_AGE_S = 0.2
NOT_FOUND = Response(404, users.encode_error("no such job"))
MAX_RETRY_S = 10  # upper bound of Retry-After
MAX_CANCEL_QUEUE_S = 3  # for the write rate limiter, of the 5 s that a user waits
MAX_CANCEL_ATTEMPTS = 4  # each fails if the record changes between reading and writing


class Unschedulable(Exception):
    """The job can never run; the text gives the reason."""


def check_schedulable(
    spec: JobSpec, settings: Settings, types: dict[TypeName, MachineType]
) -> None:
    """Raises Unschedulable if no fleet could ever run the job.

    The tasks of an array run independently, so only each one by itself must be within the
    team's limits; all tasks of a gang or a service run at once.
    """
    team = settings.teams.get(spec.team)
    if team is None:
        raise Unschedulable(f"owner: unknown team {spec.team}")
    count = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    need = spec.need
    for name, limit, amount in (
        ("vcpus", team.limit_cpus, need.cpus),
        ("gpus", team.limit_gpus, need.gpus),
    ):
        if limit is not None and amount * count > limit + EPSILON:
            raise Unschedulable(
                f"{name}: needs {amount * count:g} at once, the team's limit is {limit:g}"
            )
    zones = set()
    for machine_type in types.values():
        for zone in machine_type.zones:
            if host_allowed(
                spec, machine_type.name, zone, False
            ) and machine_type.capacity.holds(need):
                zones.add(zone)
    if not zones:
        raise Unschedulable("no allowed machine type has enough room for a task")
    if spec.spread and spec.tasks > 1 and len(zones) < 2 and spec.kind is not JobKind.ARRAY:
        raise Unschedulable("spread: the job can run in one zone only")
    if spec.spread and spec.one_zone and spec.tasks > 1 and spec.kind is not JobKind.ARRAY:
        raise Unschedulable("spread: can't be combined with together")


@dataclass(slots=True)
class JobApi:
    """Handles users' requests on any node."""

    settings: Settings
    state: StateClient
    view: View
    sync: ViewSync
    machine_types: Callable[[], dict[TypeName, MachineType] | None]  # None: not known yet
    count_running: Callable[[JobId], Awaitable[int]]  # tasks of a job on machines
    wall: Callable[[], float]  # time of day, seconds
    submissions: SubmissionQueue

    async def handle(self, request: Request) -> Response | None:
        """Answers a user's request; returns None if the path is not one of this API."""
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
            return NOT_FOUND  # no job can have been accepted under this id
        job = JobId(name)
        if action == "":
            return await self._get(job) if request.method == "GET" else METHOD_NOT_ALLOWED
        if action == users.CANCEL_SUFFIX:
            return await self._cancel(job) if request.method == "POST" else METHOD_NOT_ALLOWED
        return NOT_FOUND

    # -- queries ---

    async def _get(self, job: JobId) -> Response:
        """Answers with the state of a job.

        All other waiting comes before the read barrier, and the record is read after it, so
        that the answer is never older than one that this or another node has given meanwhile.
        """
        asked = asyncio.get_running_loop().time()
        record = self.view.jobs.get(job)
        if record is not None and record.phase.final:
            return self._describe(record, 0)
        if self.sync.failing():
            return STATE_UNAVAILABLE
        running = await self.count_running(job)  # only displayed; at most a second old
        try:
            await self.sync.barrier()
        except STATE_SERVICE_ERRORS:
            return TRY_AGAIN_LATER  # without a proof, 404 could be wrong
        record = self.view.jobs.get(job)
        if record is None:
            return NOT_FOUND
        if not record.phase.final and asyncio.get_running_loop().time() - asked > MAX_QUERY_S:
            # The process may have been suspended between the barrier and this line, while
            # another node told the user that the job has ended.
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

    # -- submissions ---

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
            refusal = await self._check_dependencies(spec)
            if refusal is not None:
                return refusal
        queued_s = self.submissions.wait_s()
        if self.submissions.full() or queued_s > MAX_SUBMIT_QUEUE_S:
            retry_s = min(MAX_RETRY_S, math.ceil(queued_s))
            return Response(503, users.encode_error("too many at once"), retry_after=retry_s)
        created, asked = await self.submissions.submit(spec, at)
        if created is None:
            return TRY_AGAIN_LATER
        if not created:
            return await self._get(spec.id)
        log.info(
            "job %s accepted: team %s, class %s, %d tasks of %g vCPUs each",
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
            # The job was durable for a while before this answer. Another node may have seen it
            # and told the user a later state than "queued".
            return await self._get(spec.id)
        return Response(201, users.encode_state(spec.id, "queued"))

    async def _refuse(self, job: JobId | None, status: int, reason: str) -> Response:
        """Refuses a submission, or answers with the state of the job if its id is known.

        Another node may have accepted the id, and that acceptance stands whatever is sent now.
        """
        known = None if job is None else await self._find_after_barrier(job)
        return known or Response(status, users.encode_error(reason))

    async def _check_dependencies(self, spec: JobSpec) -> Response | None:
        """Returns the refusal if the dependencies don't allow the job to be accepted, or None.

        Only a read barrier begun after the request shows that a job is unknown: another node
        may have accepted it a moment ago, possibly in a batch.
        """
        if self._unknown_dependencies(spec):
            known = await self._find_after_barrier(spec.id)
            if known is not None:
                return known
            if any(
                self.submissions.is_pending(job) for job in self._unknown_dependencies(spec)
            ):
                return TRY_AGAIN_LATER  # this node is about to record it
            if unknown := self._unknown_dependencies(spec):
                reason = f"awaits: {unknown[0]} was never accepted"
                return Response(422, users.encode_error(reason))
        for job in spec.dependencies:
            other = self.view.jobs[job].spec
            if other is not None and other.kind is JobKind.SERVICE:
                # A service is never done, so a job that depends on it would never start.
                return await self._refuse(spec.id, 422, f"awaits: {job} is a service")
        return None

    async def _find_after_barrier(self, job: JobId) -> Response | None:
        """Looks a job up, behind a read barrier if the view does not have it.

        Returns the answer with its state, 503 if the state service can't confirm that the job
        is unknown, or None if it is unknown.
        """
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

    # -- cancellations ---

    async def _cancel(self, job: JobId) -> Response:
        """Cancels a job, or answers with its state if it has ended."""
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
                queued_s = math.ceil(
                    self.state.write_limiter.wait_s(1.0, RequestPriority.CANCEL)
                )
                if queued_s > MAX_CANCEL_QUEUE_S:
                    reason = users.encode_error("too many at once")
                    return Response(503, reason, retry_after=min(MAX_RETRY_S, queued_s))
                key = records.job_key(job)
                value = records.encode_cancelled(record, self.settings.value_bytes)
                # The guard on the version keeps a job that is done from being recorded as
                # cancelled.
                txn = Txn(guards={key: record.version}, puts={key: value})
                result = await self.state.txn(txn, RequestPriority.CANCEL)
                if result.ok:
                    log.info("job %s cancelled by its user", job)
                    if record.batch_key is None:
                        return Response(200, users.encode_state(job, "cancelled"))
                # A job that was accepted in a batch has no key of its own whose version could
                # guard against its completion. The barrier shows which of the two came first,
                # and that one stands.
                await self.sync.barrier()
            except STATE_SERVICE_ERRORS:
                return TRY_AGAIN_LATER
        return TRY_AGAIN_LATER
