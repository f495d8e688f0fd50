"""Failures that were found once, each with what it takes to see it again."""

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
    """Task 3 started on the machine, and in the log: it may be commanded."""
    run = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert not isinstance(run, str)
    run.start_logged = True
    return run


def report(session: int, sequence: int, *tasks: TaskReport, token: int = 7) -> Report:
    return Report(
        HOST, "10.1.0.1:9000", MACHINE_TYPE, ZONE, False, Session(session), Sequence(sequence),
        Token(token), None, tasks,
    )  # fmt: skip


def test_a_session_heard_of_by_a_direct_answer_has_a_lease_of_its_own() -> None:
    """After a cut, the answer to a held command was the first word of a new session. Its
    lease was taken for over, since the last report answered was one of the session before,
    and what had just been started there was started elsewhere as well."""
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.lease_renewed_at = MonotonicTime(1.0)
    back = MonotonicTime(15.3)  # before the ledger would have counted the lease as over
    assert ledger.ingest(report(2, 5), back, direct=True).accepted
    # Direct answers alone would renew no lease: nothing starts before a report has come.
    refused = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, back)
    assert refused == "machine does not report"
    assert ledger.ingest(report(2, 6), back).accepted
    run = start_task(ledger, host, record, back)
    ledger.commands(host, direct=True, starts=True)
    assert ledger.expire_leases(MonotonicTime(15.6)) == []
    assert TASK in ledger.runs_by_task
    assert ledger.expire_leases(MonotonicTime(back + LEASE_S * 1.01 + 1.0)) == [run]


def test_a_direct_answer_does_not_refute_a_start_in_a_report_response() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = start_task(ledger, host, record, now)
    assert ledger.commands(host, direct=False, starts=True) == [Start(run.id)]
    ledger.ingest(report(1, 2), now, direct=True)  # written while the response was on its way
    assert not ledger.withdraw(run)
    ledger.ingest(report(1, 3), now)  # the next report: that response was dropped
    assert ledger.withdraw(run)


def test_an_unanswered_start_stays_and_is_never_forgotten() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = start_task(ledger, host, record, now)
    ledger.commands(host, direct=True, starts=True)
    ledger.ingest(report(1, 2), now)
    ledger.stop(run, Duration(0.0))
    assert TASK in ledger.runs_by_task
    # It is made known and stopped in one go; what is late then finds it ended.
    assert [type(c).__name__ for c in ledger.commands(host, False, True)] == ["Start", "Stop"]


def test_tasks_of_the_leader_before_are_adopted_and_told() -> None:
    """They were in the list of waiting tasks too, and blocked the room of all others."""
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
    """After a takeover: the log has task 3 on a machine that says nothing."""
    made, _, record = make_ledger(spec)
    view = made.view
    view.hosts[OTHER_HOST] = HostRecord(OTHER_HOST, MACHINE_TYPE, ZONE, False)
    view.start_log[5] = {OTHER_HOST: {TASK}}
    ledger = Ledger(
        view, Token(7), MonotonicTime(0.0), made.teams, made.types, LEASE_S, Duration(20.0)
    )
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    return ledger, record


def test_only_what_the_log_places_on_a_silent_machine_is_held_back() -> None:
    """Every takeover once stopped placing for half a minute, until the last silent machine
    was counted out."""
    ledger, record = ledger_with_silent_host({})
    host = ledger.hosts[HOST]
    now = MonotonicTime(1.0)
    other = TaskId(TASK.job, 4)
    assert not isinstance(ledger.plan_start(record, other, host, Tier.FOREGROUND, now), str)
    refused = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert refused == "an earlier leader may have started it"
    ledger.expire_leases(MonotonicTime(60.0))
    assert ledger.take_released() == [TASK]


def test_where_tasks_depend_on_one_another_all_must_be_seen() -> None:
    """The others of a job that must stay together went to the other zone meanwhile."""
    ledger, record = ledger_with_silent_host({"together": True})
    host = ledger.hosts[HOST]
    other = TaskId(TASK.job, 4)
    made = ledger.plan_start(record, other, host, Tier.FOREGROUND, MonotonicTime(1.0))
    assert made == "an earlier leader may have started it"


def test_no_lease_is_over_while_a_node_beyond_a_cut_may_feed_it() -> None:
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.lease_renewed_at = MonotonicTime(1.0)
    run = start_task(ledger, host, record, MonotonicTime(1.0))
    ledger.view.relays[NodeId("n2")] = RelayRecord(ZONE, Token(7))
    ledger.update_relays(MonotonicTime(15.0))
    assert ledger.expire_leases(MonotonicTime(16.0)) == []
    ledger.view.relays.clear()
    ledger.view.relay_changes[ZONE] = 2  # it went, and may have fed until its proof was old
    ledger.update_relays(MonotonicTime(20.0))
    assert ledger.expire_leases(MonotonicTime(20.0 + LEASE_S)) == []
    assert ledger.expire_leases(MonotonicTime(20.0 + LEASE_S * 1.01 + 3.5)) == [run]


def ledger_after_takeover(tasks: dict[HostId, set[TaskId]], *jobs: JobRecord) -> Ledger:
    """A new leader's books: two machines on record, and what the log places on them."""
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


def test_silence_counts_against_the_teams_whose_tasks_it_may_hide() -> None:
    """One silent machine held up every limited team, for up to 36 s after a takeover."""
    seen, sound = (
        make_job_record("job-000412", "vision"),
        make_job_record("job-000413", "sound"),
    )
    placed = {HOST: {TaskId(seen.id, n) for n in range(4)}}
    ledger = ledger_after_takeover(placed, seen, sound)
    assert seen.spec is not None and sound.spec is not None
    assert ledger.max_team_usage(TEAM).cpus == 4 * seen.spec.need.cpus == 32.0
    assert ledger.team_allows(seen.spec)  # 8 CPUs more are its limit
    assert not ledger.team_allows(seen.spec, seen.spec.need)
    assert ledger.team_allows(sound.spec, sound.spec.need.times(4))
    ledger._mark_reconciled(ledger.hosts[HOST])
    assert ledger.max_team_usage(TEAM) == NO_RESOURCES
    assert sorted(ledger.take_released()) == sorted(placed[HOST])


def test_a_task_that_two_machines_may_hold_counts_once_until_neither_does() -> None:
    job = make_job_record("job-000412", "vision")
    ledger = ledger_after_takeover({HOST: {TASK}, OTHER_HOST: {TASK}}, job)
    assert ledger.max_team_usage(TEAM).cpus == 8.0
    ledger._mark_reconciled(ledger.hosts[HOST])
    assert ledger.max_team_usage(TEAM).cpus == 8.0 and ledger.may_run_on_unreconciled_host(TASK)
    ledger._mark_reconciled(ledger.hosts[OTHER_HOST])
    assert ledger.max_team_usage(TEAM) == NO_RESOURCES and ledger.take_released() == [TASK]


def test_what_nothing_describes_counts_as_the_whole_machine_and_for_everybody() -> None:
    ledger = ledger_after_takeover({HOST: {TASK}})
    for team in ("vision", "sound"):
        assert ledger.max_team_usage(Team(team)).cpus == 96.0
    cancelled = ledger_after_takeover(
        {HOST: {TASK}}, make_job_record("job-000412", "vision", JobPhase.CANCELLED)
    )
    assert cancelled.max_team_usage(TEAM).cpus == 8.0  # it may still be running
    done = JobRecord(TASK.job, JobPhase.DONE, Revision(6), WallTime(0.0), None, 8)
    assert ledger_after_takeover({HOST: {TASK}}, done).max_team_usage(TEAM) == NO_RESOURCES


def test_a_late_start_is_put_down_to_the_longest_part_of_its_wait() -> None:
    def cause(**more: float) -> Cause:
        plain: dict[str, Any] = {
            "accepted_at": 0.0, "known_at": 0.0, "planned_at": 2.0, "running_at": 10.0,
            "limited_s": 0.0, "cached": False,
        }  # fmt: skip
        wait = FirstStart(**plain | more)
        assert sum(wait.parts().values()) == wait.total_s
        assert min(wait.parts().values()) >= 0.0
        return wait.cause()

    assert cause() is Cause.IMAGE
    assert cause(cached=True) is Cause.COMMAND
    assert cause(planned_at=9.0) is Cause.ROOM
    assert cause(planned_at=9.0, limited_s=40.0) is Cause.LIMIT
    assert cause(planned_at=9.0, known_at=6.0) is Cause.LEADER
    assert cause(accepted_at=4.0, planned_at=3.0) is Cause.IMAGE  # clocks differ a little


def test_each_task_counts_once_and_only_if_this_leader_saw_it_begin() -> None:
    ledger, host, record = make_ledger()
    assert record.spec is not None
    known = ledger.ingest(report(1, 1), MonotonicTime(1.0))
    assert known.accepted and not known.begun
    run = start_task(ledger, host, record, MonotonicTime(2.0))
    task = TaskReport(run.id, TaskPhase.RUNNING, None, False)
    outcome = ledger.ingest(report(1, 2, task), MonotonicTime(9.0))
    assert outcome.begun == (run,)
    assert not ledger.ingest(report(1, 3, task), MonotonicTime(9.5)).begun
    lateness, progress = LateStarts(MonotonicTime(0.0)), JobProgress(record.spec, set())
    run.first_seen_late = False
    for _ in range(2):
        lateness.record_start(run, progress, 5.0, 8.0)
    assert lateness.starts == {"train": 1} and lateness.summary() == "train 1 of 1: image 1"


def test_what_is_lost_on_a_machine_that_only_direct_calls_reach_is_counted() -> None:
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
