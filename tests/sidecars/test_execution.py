import contextlib

import anyio

from persimmonsail import control_pb2
from persimmonsail.decisions import admission
from persimmonsail import exceptions
from persimmonsail import settings
from persimmonsail.sidecars import attempts
from persimmonsail.sidecars import backends
from persimmonsail.sidecars import execution
from persimmonsail.sidecars import instance
from tests import base

# Without a guard, a test would wait indefinitely.
TIMEOUT_SECONDS = 20.0


class FakeBackend:
    """Answers once released; counts requests in flight."""

    def __init__(self) -> None:
        self.ran: list[str] = []
        self.max_in_flight = 0
        self.in_flight = 0
        self.free = anyio.Event()
        self.started = anyio.Event()
        self.error: Exception | None = None

    async def send(self, request, body, content_type, timeout):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.started.set()
        try:
            if self.error:
                raise self.error
            self.ran.append(request)
            await self.free.wait()
        finally:
            self.in_flight -= 1
        return backends.BackendAnswer(200, b'{}', 'application/json')


@contextlib.asynccontextmanager
async def open_executor(**options):
    sidecar_settings = settings.Sidecar.model_validate(
        {
            'entries': '127.0.0.1:1',
            'worker': '127.0.0.1:1',
            'backend': '127.0.0.1:1',
            'service': 'planning',
            **options,
        }
    )
    own = instance.OwnInstance(
        commitments=admission.Commitments(admission.Size(64, 64, 0))
    )
    backend = FakeBackend()
    with anyio.fail_after(TIMEOUT_SECONDS):
        async with anyio.create_task_group() as group:
            executor = execution.Executor(
                own, backend, sidecar_settings, group
            )
            yield executor, own, backend
            group.cancel_scope.cancel()


def make_request(own, attempt: str, **fields) -> control_pb2.ExecuteRequest:
    values = {
        'attempt': attempt,
        'request': attempt,
        'incarnation': own.incarnation,
        'issued_ms': attempts.read_clock(),
        'timeout_seconds': 30.0,
        **fields,
    }
    return control_pb2.ExecuteRequest(**values)


def make_settle(own, attempt: str, **fields) -> control_pb2.SettleRequest:
    values = {
        'attempt': attempt,
        'incarnation': own.incarnation,
        'issued_ms': attempts.read_clock(),
        **fields,
    }
    return control_pb2.SettleRequest(**values)


class ExecutorTest(base.TestCase):
    async def test_refused_attempt_never_runs_later(self):
        """A second copy runs after the caller received 'not run'.

        The first copy is refused, as the backend server is leaving; the
        second arrives when new work is accepted again.
        """
        async with open_executor(queue='0') as (executor, own, backend):
            request = make_request(own, 'a')
            own.backend_leaving = True
            first = await executor.execute(request)
            own.backend_leaving = False
            backend.free.set()
            second = await executor.execute(request)
            self.assertEqual(control_pb2.NOT_RUN, first.verdict)
            self.assertEqual(control_pb2.NOT_RUN, second.verdict)
            self.assertEqual([], backend.ran)

    async def test_settled_attempt_never_runs_later(self):
        """A late request runs after the caller received 'not run'.

        The entry settled the attempt before its request arrived.
        """
        async with open_executor() as (executor, own, backend):
            backend.free.set()
            settled = await executor.settle(make_settle(own, 'a'))
            late = await executor.execute(make_request(own, 'a'))
            self.assertEqual(control_pb2.NOT_RUN, settled.verdict)
            self.assertEqual(control_pb2.NOT_RUN, late.verdict)
            self.assertEqual([], backend.ran)

    async def test_settlement_with_a_later_sidecar_is_unknown(self):
        """A caller receives 'not run' for an order that ran.

        The sidecar that ran it was replaced, and its successor settles
        the attempt.
        """
        async with open_executor() as (executor, own, backend):
            settle = make_settle(own, 'a', incarnation='before')
            reply = await executor.settle(settle)
            self.assertEqual(control_pb2.UNKNOWN, reply.verdict)

    async def test_leaving_instance_or_backend_server_admits_nothing(self):
        async with open_executor() as (executor, own, backend):
            backend.free.set()
            for field in ('leaving', 'backend_leaving'):
                setattr(own, field, True)
                request = make_request(own, field)
                reply = await executor.execute(request)
                self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
                setattr(own, field, False)
            self.assertEqual([], backend.ran)

    async def test_old_request_is_refused_and_a_resent_one_unknown(self):
        async with open_executor() as (executor, own, backend):
            old = attempts.read_clock() - 60_000
            request = make_request(own, 'a', issued_ms=old)
            reply = await executor.execute(request)
            self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
            request = make_request(own, 'a', issued_ms=old, resent=True)
            reply = await executor.execute(request)
            self.assertEqual(control_pb2.UNKNOWN, reply.verdict)
            request = make_request(own, 'a', incarnation='x', resent=True)
            reply = await executor.execute(request)
            self.assertEqual(control_pb2.UNKNOWN, reply.verdict)
            settle = make_settle(own, 'a', issued_ms=old)
            reply = await executor.settle(settle)
            self.assertEqual(control_pb2.UNKNOWN, reply.verdict)
            self.assertEqual([], backend.ran)

    async def test_never_more_requests_than_slots_or_connections(self):
        for options, limit in (
            ({'slots': '3'}, 3),
            ({'slots': '8', 'connections': '5'}, 4),
        ):
            async with open_executor(**options) as (executor, own, backend):
                async with anyio.create_task_group() as group:
                    for number in range(12):
                        group.start_soon(
                            executor.execute, make_request(own, f'{number}')
                        )
                    await anyio.wait_all_tasks_blocked()
                    self.assertEqual(limit, backend.in_flight)
                    self.assertEqual(limit, own.busy_slots)
                    backend.free.set()
                self.assertEqual(limit, backend.max_in_flight)
                self.assertEqual(0, own.busy_slots)
                self.assertEqual(0, own.queued)
                self.assertEqual(admission.Size(), own.commitments.total)

    async def test_work_continues_when_its_caller_disconnects(self):
        """A slot is never released after a link breaks.

        The RPC library cancels the handler of a broken call. The work
        continues in the sidecar, which retains its outcome and releases
        its slot.
        """
        async with open_executor() as (executor, own, backend):
            async with anyio.create_task_group() as group:
                group.start_soon(executor.execute, make_request(own, 'a'))
                await backend.started.wait()
                group.cancel_scope.cancel()
            self.assertEqual(1, own.busy_slots)
            backend.free.set()
            reply = await executor.settle(
                make_settle(own, 'a', wait_seconds=30)
            )
            self.assertEqual(control_pb2.ANSWERED, reply.verdict)
            self.assertEqual(0, own.busy_slots)
            self.assertEqual(admission.Size(), own.commitments.total)

    async def test_cancelled_attempt_releases_its_slot(self):
        async with open_executor(slots='1') as (executor, own, backend):
            async with anyio.create_task_group() as group:
                group.start_soon(executor.execute, make_request(own, 'a'))
                await backend.started.wait()
                group.start_soon(executor.execute, make_request(own, 'b'))
                await anyio.wait_all_tasks_blocked()
                for name, verdict in (
                    ('b', control_pb2.NOT_RUN),
                    ('a', control_pb2.UNKNOWN),
                ):
                    settle = make_settle(
                        own, name, cancel=True, wait_seconds=30
                    )
                    reply = await executor.settle(settle)
                    self.assertEqual(verdict, reply.verdict)
                # A stop of the sidecar must not be logged like this.
                self.assertEqual('no longer wanted', reply.reason)
            self.assertEqual(['a'], backend.ran)
            self.assertEqual(0, own.busy_slots)
            self.assertEqual(0, own.queued)

    async def test_lost_answer_is_unknown_and_no_connection_not_run(self):
        async with open_executor() as (executor, own, backend):
            backend.error = exceptions.BackendAnswerLost('lost')
            reply = await executor.execute(make_request(own, 'a'))
            self.assertEqual(control_pb2.UNKNOWN, reply.verdict)
            backend.error = exceptions.BackendNotConnected('refused')
            reply = await executor.execute(make_request(own, 'b'))
            self.assertEqual(control_pb2.NOT_RUN, reply.verdict)

    async def test_backlog_longer_than_the_deadline_refuses_at_once(self):
        """A caller is refused only after its deadline passed in the queue.

        Observed service times show that its slot would come too late.
        """
        async with open_executor(slots='1') as (executor, own, backend):
            async with anyio.create_task_group() as group:
                group.start_soon(executor.execute, make_request(own, 'a'))
                await backend.started.wait()
                executor._backlog.note_service(5.0)
                request = make_request(own, 'b', timeout_seconds=2.0)
                reply = await executor.execute(request)
                self.assertEqual(control_pb2.NOT_RUN, reply.verdict)
                self.assertGreater(reply.retry_after_seconds, 2.0)
                backend.free.set()
            self.assertEqual(['a'], backend.ran)
