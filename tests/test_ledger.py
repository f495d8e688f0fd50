"""Regression tests of the ledger, and of the statistics on late starts."""

from __future__ import annotations

from typing import Any

from dunehold.bookkeeping.hosts import Host, Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import HostRecord, JobRecord, RelayRecord
from dunehold.bookkeeping.view import View
from dunehold.coordination.planning.progress import JobProgress
from dunehold.coordination.term.late_starts import Cause, FirstStart, LateStarts
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import decode_job_object
from dunehold.protocol.workers import Report, Start, TaskReport
from dunehold.settings import TeamSettings
from dunehold.types import (
    NO_RESOURCES,
    AttemptId,
    Duration,
    HostId,
    JobId,
    JobPhase,
    MonotonicTime,
    NodeId,
    Resources,
    Revision,
    Sequence,
    Session,
    TaskId,
    TaskPhase,
    Team,
    Tier,
    Token,
    TypeName,
    WallTime,
    Zone,
)
from tests.test_protocol import JOB

LEASE_S = Duration(14.0)
HOST, OTHER_HOST = HostId("m-000001"), HostId("m-000002")
MACHINE_TYPE, ZONE, TEAM = TypeName("g8"), Zone("a"), Team("vision")
TASK = TaskId(JobId("job-000412"), 3)


def make_ledger(changes: dict[str, object] | None = None) -> tuple[Ledger, Host, JobRecord]:
    """Return a new leader's ledger with one registered machine and one job."""
    fields = JOB | {"flavours": ["g8"], "together": False} | (changes or {})
    spec = decode_job_object(fields)
    view = View()
    view.hosts[HOST] = HostRecord(HOST, MACHINE_TYPE, ZONE, False)
    record = JobRecord(spec.id, JobPhase.ACTIVE, Revision(5), WallTime(0.0), spec, spec.tasks)
    view.jobs[spec.id] = view.active[spec.id] = record
    room = Resources(96.0, 8.0, 768.0)
    kind = MachineType(MACHINE_TYPE, room, 200.0, 1.0, 12.0, 4.5, Duration(45.0), (ZONE,))
    ledger = Ledger(
        view, Token(7), MonotonicTime(0.0),
        {TEAM: TeamSettings(TEAM, NO_RESOURCES, None, None)}, {MACHINE_TYPE: kind},
        LEASE_S, Duration(20.0),
    )  # fmt: skip
    return ledger, ledger.hosts[HOST], record


def start_task(ledger: Ledger, host: Host, record: JobRecord, now: MonotonicTime) -> Run:
    """Plan a start of task 3 on the machine, and mark it as logged so that it may be sent."""
    run = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert not isinstance(run, str)
    run.start_logged = True
    return run


def report(session: int, sequence: int, *tasks: TaskReport, token: int = 7) -> Report:
    """Return a worker's report, by default with the token of the ledger's leader."""
    return Report(
        HOST, "10.1.0.1:9000", MACHINE_TYPE, ZONE, False, Session(session), Sequence(sequence),
        Token(token), None, tasks,
    )  # fmt: skip


def test_a_session_first_seen_in_a_direct_response_has_its_own_lease() -> None:
    """Guards against tasks that are started twice after a partition.

    The response to a delayed command can be the first message of a new session. Its lease was
    taken for expired, since the last answered report belonged to the session before; a task
    that had just been started there was then started elsewhere as well.
    """
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.lease_renewed_at = MonotonicTime(1.0)
    back = MonotonicTime(15.3)  # before the lease of the first session expires in the ledger
    assert ledger.ingest(report(2, 5), back, direct=True).accepted
    # Direct responses do not renew the lease, so nothing starts before a report has come.
    refused = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, back)
    assert refused == "machine does not report"
    assert ledger.ingest(report(2, 6), back).accepted
    run = start_task(ledger, host, record, back)
    ledger.commands(host, direct=True, starts=True)
    assert ledger.expire_leases(MonotonicTime(15.6)) == []
    assert TASK in ledger.occupancy.runs_by_task
    assert ledger.expire_leases(MonotonicTime(back + LEASE_S * 1.01 + 1.0)) == [run]


def test_a_direct_response_does_not_disprove_a_start_in_a_report_response() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = start_task(ledger, host, record, now)
    assert ledger.commands(host, direct=False, starts=True) == [Start(run.id)]
    # A direct response may be written before the report response arrives.
    ledger.ingest(report(1, 2), now, direct=True)
    assert not ledger.withdraw(run)
    ledger.ingest(report(1, 3), now)  # the next report proves that the response was dropped
    assert ledger.withdraw(run)


def test_an_unanswered_start_is_kept_and_sent_again_with_its_stop() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = start_task(ledger, host, record, now)
    ledger.commands(host, direct=True, starts=True)
    ledger.ingest(report(1, 2), now)
    ledger.stop(run, Duration(0.0))
    assert TASK in ledger.occupancy.runs_by_task
    # The start is sent again together with its stop, so that a late start command finds the
    # attempt ended.
    assert [type(c).__name__ for c in ledger.commands(host, False, True)] == ["Start", "Stop"]


def test_tasks_of_the_previous_leader_are_adopted_and_reported() -> None:
    """Guards against adopted tasks that stay in the list of waiting tasks.

    There they would take the room of all others.
    """
    ledger, host, _ = make_ledger()
    seen = TaskReport(
        AttemptId(TASK, run_attempt := 1 << 32 | 1), TaskPhase.RUNNING, None, False
    )  # type: ignore[arg-type]
    assert not ledger.all_reconciled()
    assert not ledger.ingest(report(1, 1, seen, token=6), MonotonicTime(1.0)).accepted
    outcome = ledger.ingest(report(1, 2, seen), MonotonicTime(2.0))
    assert [run.id.attempt for run in outcome.adopted] == [run_attempt]
    assert ledger.all_reconciled() and host.used.cpus == 8.0


def ledger_with_silent_host(spec: dict[str, object]) -> tuple[Ledger, JobRecord]:
    """Return a ledger after a takeover, with task 3 logged on a machine that is silent."""
    previous, _, record = make_ledger(spec)
    view = previous.view
    view.hosts[OTHER_HOST] = HostRecord(OTHER_HOST, MACHINE_TYPE, ZONE, False)
    view.start_log[5] = {OTHER_HOST: {TASK}}
    ledger = Ledger(
        view,
        Token(7),
        MonotonicTime(0.0),
        previous.teams,
        previous.types,
        LEASE_S,
        Duration(20.0),
    )
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    return ledger, record


def test_only_tasks_logged_on_a_silent_machine_are_held_back() -> None:
    """Guards against takeovers that stop all starts until no silent machine is left.

    That takes half a minute, when the lease of the last silent machine has expired.
    """
    ledger, record = ledger_with_silent_host({})
    host = ledger.hosts[HOST]
    now = MonotonicTime(1.0)
    other = TaskId(TASK.job, 4)
    assert not isinstance(ledger.plan_start(record, other, host, Tier.FOREGROUND, now), str)
    refused = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert refused == "an earlier leader may have started it"
    ledger.expire_leases(MonotonicTime(60.0))
    assert ledger.take_released() == [TASK]


def test_no_task_of_a_job_that_stays_together_starts_while_one_may_run_unseen() -> None:
    """Guards against such a job's other tasks being started in another zone meanwhile."""
    ledger, record = ledger_with_silent_host({"together": True})
    host = ledger.hosts[HOST]
    other = TaskId(TASK.job, 4)
    refused = ledger.plan_start(record, other, host, Tier.FOREGROUND, MonotonicTime(1.0))
    assert refused == "an earlier leader may have started it"


def test_no_lease_expires_while_a_relay_may_renew_it() -> None:
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.lease_renewed_at = MonotonicTime(1.0)
    run = start_task(ledger, host, record, MonotonicTime(1.0))
    ledger.view.relays[NodeId("n2")] = RelayRecord(ZONE, Token(7))
    ledger.update_relays(MonotonicTime(15.0))
    assert ledger.expire_leases(MonotonicTime(16.0)) == []
    ledger.view.relays.clear()
    ledger.view.relay_changes[ZONE] = 2  # it may have renewed leases until its proof expired
    ledger.update_relays(MonotonicTime(20.0))
    assert ledger.expire_leases(MonotonicTime(20.0 + LEASE_S)) == []
    assert ledger.expire_leases(MonotonicTime(20.0 + LEASE_S * 1.01 + 3.5)) == [run]


def ledger_after_takeover(tasks: dict[HostId, set[TaskId]], *jobs: JobRecord) -> Ledger:
    """Return a new leader's ledger of two registered machines with these logged tasks."""
    view = View()
    for host in (HOST, OTHER_HOST):
        view.hosts[host] = HostRecord(host, MACHINE_TYPE, ZONE, False)
    for job in jobs:
        view.jobs[job.id] = job
        if job.phase is JobPhase.ACTIVE:
            view.active[job.id] = job
    view.start_log[0] = tasks
    room = Resources(96.0, 8.0, 768.0)
    kind = MachineType(MACHINE_TYPE, room, 200.0, 1.0, 12.0, 4.5, Duration(45.0), (ZONE,))
    teams = {
        Team(name): TeamSettings(Team(name), NO_RESOURCES, 40.0, None)
        for name in ("vision", "sound")
    }
    return Ledger(
        view, Token(7), MonotonicTime(0.0), teams, {MACHINE_TYPE: kind}, LEASE_S, Duration(20.0)
    )


def make_job_record(name: str, team: str, phase: JobPhase = JobPhase.ACTIVE) -> JobRecord:
    spec = decode_job_object(
        JOB | {"uid": name, "owner": team, "flavours": ["g8"], "together": False}
    )
    return JobRecord(spec.id, phase, Revision(5), WallTime(0.0), spec, spec.tasks)


def test_a_silent_machine_counts_against_teams_with_tasks_logged_on_it() -> None:
    """Guards against a silent machine that blocks every team with a limit.

    Such teams were blocked for up to 36 s after a takeover.
    """
    seen, sound = (
        make_job_record("job-000412", "vision"),
        make_job_record("job-000413", "sound"),
    )
    placed = {HOST: {TaskId(seen.id, n) for n in range(4)}}
    ledger = ledger_after_takeover(placed, seen, sound)
    assert seen.spec is not None and sound.spec is not None
    assert ledger.max_team_usage(TEAM).cpus == 4 * seen.spec.need.cpus == 32.0
    assert ledger.team_allows(seen.spec)  # 8 more CPUs reach its limit of 40
    assert not ledger.team_allows(seen.spec, seen.spec.need)
    assert ledger.team_allows(sound.spec, sound.spec.need.times(4))
    ledger._mark_reconciled(ledger.hosts[HOST])
    assert ledger.max_team_usage(TEAM) == NO_RESOURCES
    assert sorted(ledger.take_released()) == sorted(placed[HOST])


def test_a_task_that_two_machines_may_run_counts_once() -> None:
    job = make_job_record("job-000412", "vision")
    ledger = ledger_after_takeover({HOST: {TASK}, OTHER_HOST: {TASK}}, job)
    assert ledger.max_team_usage(TEAM).cpus == 8.0
    ledger._mark_reconciled(ledger.hosts[HOST])
    assert ledger.max_team_usage(TEAM).cpus == 8.0 and ledger.may_run_on_unreconciled_host(TASK)
    ledger._mark_reconciled(ledger.hosts[OTHER_HOST])
    assert ledger.max_team_usage(TEAM) == NO_RESOURCES and ledger.take_released() == [TASK]


def test_unknown_tasks_count_as_the_whole_machine_for_every_team() -> None:
    """A logged task without a job record may belong to any team and fill the machine."""
    ledger = ledger_after_takeover({HOST: {TASK}})
    for team in ("vision", "sound"):
        assert ledger.max_team_usage(Team(team)).cpus == 96.0
    cancelled = ledger_after_takeover(
        {HOST: {TASK}}, make_job_record("job-000412", "vision", JobPhase.CANCELLED)
    )
    assert cancelled.max_team_usage(TEAM).cpus == 8.0  # the task may still be running
    done = JobRecord(TASK.job, JobPhase.DONE, Revision(6), WallTime(0.0), None, 8)
    assert ledger_after_takeover({HOST: {TASK}}, done).max_team_usage(TEAM) == NO_RESOURCES


def test_the_cause_of_a_late_start_is_the_longest_part_of_its_wait() -> None:
    def cause(**more: float) -> Cause:
        defaults: dict[str, Any] = {
            "accepted_at": 0.0, "known_at": 0.0, "planned_at": 2.0, "running_at": 10.0,
            "limited_s": 0.0, "cached": False,
        }  # fmt: skip
        wait = FirstStart(**defaults | more)
        assert sum(wait.parts().values()) == wait.total_s
        assert min(wait.parts().values()) >= 0.0
        return wait.cause()

    assert cause() is Cause.IMAGE
    assert cause(cached=True) is Cause.COMMAND
    assert cause(planned_at=9.0) is Cause.ROOM
    assert cause(planned_at=9.0, limited_s=40.0) is Cause.LIMIT
    assert cause(planned_at=9.0, known_at=6.0) is Cause.LEADER
    assert cause(accepted_at=4.0, planned_at=3.0) is Cause.IMAGE  # clocks differ slightly


def test_a_late_start_is_counted_once_and_only_if_seen_by_this_leader() -> None:
    ledger, host, record = make_ledger()
    assert record.spec is not None
    known = ledger.ingest(report(1, 1), MonotonicTime(1.0))
    assert known.accepted and not known.begun
    run = start_task(ledger, host, record, MonotonicTime(2.0))
    task = TaskReport(run.id, TaskPhase.RUNNING, None, False)
    outcome = ledger.ingest(report(1, 2, task), MonotonicTime(9.0))
    assert outcome.begun == (run,)
    assert not ledger.ingest(report(1, 3, task), MonotonicTime(9.5)).begun
    late_starts, progress = LateStarts(MonotonicTime(0.0)), JobProgress(record.spec, set())
    run.first_seen_late = False
    for _ in range(2):
        late_starts.record_start(run, progress, 5.0, 8.0)
    assert (
        late_starts.starts == {"train": 1} and late_starts.summary() == "train 1 of 1: image 1"
    )


def test_tasks_lost_on_a_machine_that_only_direct_calls_reach_are_counted() -> None:
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.lease_renewed_at = MonotonicTime(1.0)
    run = start_task(ledger, host, record, MonotonicTime(1.0))
    ledger.commands(host, direct=True, starts=True)
    task = TaskReport(run.id, TaskPhase.RUNNING, None, False)
    ledger.ingest(report(1, 2, task), MonotonicTime(9.0), direct=True)
    assert (
        ledger.expire_leases(MonotonicTime(17.0)) == [run] and ledger.lost_without_reports == 1
    )
