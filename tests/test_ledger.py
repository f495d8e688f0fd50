"""Failures that were found once, each with what it takes to see it again."""

from __future__ import annotations

from dunehold.bookkeeping.ledger import Host, Ledger
from dunehold.bookkeeping.records import HostRecord, JobRecord
from dunehold.bookkeeping.view import View
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.users import decode_job_object
from dunehold.protocol.workers import Report, Start, TaskReport
from dunehold.settings import TeamSettings
from dunehold.types import (
    NO_ROOM,
    AttemptId,
    Duration,
    HostId,
    JobId,
    JobPhase,
    MonotonicTime,
    Revision,
    Room,
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

LEASE = Duration(14.0)
HOST, KIND, ZONE, TEAM = HostId("m-000001"), TypeName("g8"), Zone("a"), Team("vision")
TASK = TaskId(JobId("job-000412"), 3)


def make_ledger() -> tuple[Ledger, Host, JobRecord]:
    spec = decode_job_object(JOB | {"flavours": ["g8"]})
    view = View()
    view.hosts[HOST] = HostRecord(HOST, KIND, ZONE, False)
    record = JobRecord(spec.id, JobPhase.ACTIVE, Revision(5), WallTime(0.0), spec, spec.tasks)
    view.jobs[spec.id] = view.active[spec.id] = record
    room = Room(96.0, 8.0, 768.0)
    kind = MachineType(KIND, room, 200.0, 1.0, 12.0, 4.5, Duration(45.0), (ZONE,))
    ledger = Ledger(
        view, Token(7), MonotonicTime(0.0),
        {TEAM: TeamSettings(TEAM, NO_ROOM, None, None)}, {KIND: kind}, LEASE, Duration(20.0),
    )  # fmt: skip
    return ledger, ledger.hosts[HOST], record


def report(session: int, sequence: int, *tasks: TaskReport, token: int = 7) -> Report:
    return Report(
        HOST, "10.1.0.1:9000", KIND, ZONE, False, Session(session), Sequence(sequence),
        Token(token), None, tasks,
    )  # fmt: skip


def test_a_session_heard_of_by_a_direct_answer_has_a_lease_of_its_own() -> None:
    """After a cut, the answer to a held command was the first word of a new session. Its
    lease was taken for over, since the last report answered was one of the session before,
    and what had just been started there was started elsewhere as well."""
    ledger, host, record = make_ledger()
    ledger.ingest(report(1, 1), MonotonicTime(1.0))
    host.fed_at = MonotonicTime(1.0)
    back = MonotonicTime(15.3)  # before the ledger would have counted the lease as over
    assert ledger.ingest(report(2, 5), back, direct=True).accepted
    run = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, back)
    assert not isinstance(run, str)
    run.logged = True
    ledger.commands(host, direct=True, starts=True)
    assert ledger.expire(MonotonicTime(15.6)) == []
    assert TASK in ledger.present
    assert ledger.expire(MonotonicTime(back + LEASE * 1.01 + 1.0)) == [run]


def test_a_direct_answer_does_not_refute_a_start_in_a_report_response() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert not isinstance(run, str)
    run.logged = True
    assert ledger.commands(host, direct=False, starts=True) == [Start(run.id)]
    ledger.ingest(report(1, 2), now, direct=True)  # written while the response was on its way
    assert not ledger.withdraw(run)
    ledger.ingest(report(1, 3), now)  # the next report: that response was dropped
    assert ledger.withdraw(run)


def test_an_unanswered_start_stays_and_is_never_forgotten() -> None:
    ledger, host, record = make_ledger()
    now = MonotonicTime(1.0)
    ledger.ingest(report(1, 1), now)
    run = ledger.plan_start(record, TASK, host, Tier.FOREGROUND, now)
    assert not isinstance(run, str)
    run.logged = True
    ledger.commands(host, direct=True, starts=True)
    ledger.ingest(report(1, 2), now)
    ledger.stop(run, Duration(0.0))
    assert TASK in ledger.present
    # It is made known and stopped in one go; what is late then finds it ended.
    assert [type(c).__name__ for c in ledger.commands(host, False, True)] == ["Start", "Stop"]


def test_tasks_of_the_leader_before_are_adopted_and_told() -> None:
    """They were in the list of waiting tasks too, and blocked the room of all others."""
    ledger, host, _ = make_ledger()
    seen = TaskReport(
        AttemptId(TASK, run_attempt := 1 << 32 | 1), TaskPhase.RUNNING, None, False
    )  # type: ignore[arg-type]
    assert not ledger.all_known()
    assert not ledger.ingest(report(1, 1, seen, token=6), MonotonicTime(1.0)).accepted
    outcome = ledger.ingest(report(1, 2, seen), MonotonicTime(2.0))
    assert [run.id.attempt for run in outcome.adopted] == [run_attempt]
    assert ledger.all_known() and host.used.cpus == 8.0
