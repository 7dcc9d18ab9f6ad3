import anyio

from persimmonsail import exceptions
from persimmonsail.jobs import advice
from persimmonsail.jobs import advisor
from persimmonsail.jobs import board as board_module
from persimmonsail.jobs import fleetsnapshot
from persimmonsail.jobs import record
from tests import base
from tests.jobs import cases

NOW = 100.0
WALL = 1000.0
SERVICE = cases.QUEUE.service
VALID_SECONDS = 3.0


class AdviceCase(base.TestCase):
    """A job of a queue with an advisor, on four instances."""

    def setUp(self):
        super().setUp()
        self.approvals = advice.Approvals()
        self.fleet = [
            cases.make_instance(f'10.0.0.{i}:7000', cores=2 + i, boot=f'b{i}')
            for i in range(4)
        ]
        self.board = board_module.Board()
        self.job = cases.make_job(cases.make_step(4))
        self.board.add(self.job)
        self.step = f'{cases.ID}.0.0'

    def plan(self, now=NOW):
        return cases.plan(
            self.board,
            fleetsnapshot.FleetSnapshot(),
            self.fleet,
            now,
            WALL,
            queue=cases.ADVISED,
            approvals=self.approvals,
        )

    async def wait_question_briefly(self):
        with anyio.move_on_after(0.1):
            return await self.approvals.wait_question()

    def answer(self, question, *boots, now=NOW):
        permits = {boot: f't-{boot}' for boot in boots}
        self.approvals.note(
            question, advisor.Answer(permits, VALID_SECONDS), now
        )


class AdviceTest(AdviceCase):
    async def test_tasks_start_with_tickets_on_approved_instances(self):
        """Every start on a queue with an advisor is rejected.

        The step was placed wherever there was capacity, without a permit.
        """
        self.assertEqual([], self.plan())
        question = await self.wait_question_briefly()
        self.assertEqual(self.step, question.step)
        # The instance with the most free capacity comes first.
        self.assertEqual(('b3', 'b2', 'b1', 'b0'), question.boots)
        self.answer(question, 'b1')
        claims = self.plan()
        self.assertEqual({'b1'}, {claim.instance.boot for claim in claims})
        self.assertEqual({'t-b1'}, {claim.permit for claim in claims})
        self.assertEqual(3, len(claims))
        # One task is left and the only approved instance is full, but all
        # instances have been answered for, so no question remains.
        self.assertIsNone(await self.wait_question_briefly())

    async def test_a_ticket_is_not_used_until_its_last_moment(self):
        """A start is rejected because its permit expired on the way."""
        self.plan()
        self.answer(await self.wait_question_briefly(), 'b1')
        self.assertEqual([], self.plan(NOW + VALID_SECONDS - 0.1))
        question = await self.wait_question_briefly()
        # Only the approved instance is asked about again: denials are final.
        self.assertEqual(('b1',), question.boots)

    async def test_a_refused_ticket_is_asked_for_again(self):
        """A step never starts: the same permit is refused repeatedly.

        The worker was restarted, or its clock differs about when the permit
        expires.
        """
        self.plan()
        self.answer(await self.wait_question_briefly(), 'b1', 'b2')
        self.approvals.drop_permit(self.step, 'b1')
        claims = self.plan()
        self.assertEqual({'b2'}, {claim.instance.boot for claim in claims})
        for claim in claims:
            key = (claim.run.task, claim.run.number)
            claim.instance.drop_run(key)
        self.assertNotIn('b1', self.approvals.find_permits(self.step, NOW))

    async def test_a_question_names_a_batch_of_instances_with_room(self):
        """A short check starts late: its question named the whole fleet.

        The advisor's answer takes longer the more instances a question names.
        """
        self.fleet = [
            cases.make_instance(f'10.0.0.{i}:7000', boot=f'b{i}')
            for i in range(70)
        ]
        self.fleet[3].leaving = True
        full = self.fleet[4]
        cases.add_run(full, cases.make_step(1, size=full.capacity))
        asked_boots = []
        for asked in (
            advice.MAX_INSTANCES_ASKED,
            advice.MAX_INSTANCES_ASKED,
            8,
        ):
            self.plan()
            question = await self.wait_question_briefly()
            self.assertEqual(asked, len(question.boots))
            asked_boots += question.boots
            self.answer(question)
        self.assertEqual(68, len(set(asked_boots)))
        self.assertNotIn('b3', asked_boots)
        self.assertNotIn('b4', asked_boots)
        self.plan()
        self.assertIsNone(await self.wait_question_briefly())

    async def test_what_nothing_waits_for_any_more_is_not_asked(self):
        self.plan()
        self.board.cancel(cases.ID)
        self.plan()
        self.assertIsNone(await self.wait_question_briefly())

    async def test_answers_about_an_ended_job_are_dropped(self):
        self.plan()
        self.answer(await self.wait_question_briefly(), 'b1')
        self.approvals.forget(cases.ID)
        self.assertEqual({}, self.approvals.find_permits(self.step, NOW))

    async def test_an_advisor_that_fails_is_asked_again(self):
        """Nothing more starts on a queue after its advisor was busy once."""
        advisor = BusyAdvisor()
        answered = anyio.Event()
        self.plan()
        with anyio.fail_after(5.0):
            async with anyio.create_task_group() as group:
                group.start_soon(
                    advice.run_question_loop,
                    advisor,
                    self.approvals,
                    answered.set,
                )
                while not answered.is_set():
                    await anyio.sleep(0.05)
                    self.plan()
                group.cancel_scope.cancel()
        self.assertEqual(2, advisor.asked)


class SuspectAdviceTest(AdviceCase):
    """A task of an advised queue that may have crashed its agent."""

    def setUp(self):
        super().setUp()
        self.suspect, self.other, *rest = self.job.tasks.values()
        self.board.update_crashes(
            self.suspect, record.Crashes(count=1, longest_ms=300)
        )
        for task in (self.other, *rest):
            task.not_before = NOW + 60.0

    async def test_a_suspect_without_a_permit_asks_for_one(self):
        """A suspect waits without end: nobody asks the advisor for it."""
        self.assertEqual([], self.plan())
        question = await self.wait_question_briefly()
        self.assertEqual(self.step, question.step)
        self.answer(question, 'b1')
        (claim,) = self.plan()
        self.assertEqual('t-b1', claim.permit)

    async def test_a_permit_for_a_reserved_instance_is_asked_for_again(self):
        """A suspect loses its instance, as the permit expires meanwhile."""
        self.plan()
        question = await self.wait_question_briefly()
        self.answer(question, 'b1', now=NOW + 1.5 - VALID_SECONDS)
        busy = self.fleet[1]
        other = '00000000000000bb.0.0.0'
        cases.add_run(busy, cases.make_step(), other, observed_at=NOW - 0.2)
        self.assertEqual([], self.plan())
        self.assertTrue(busy.is_reserved_for(self.suspect.name, NOW))
        later = NOW + 1.2
        self.assertEqual([], self.plan(later))
        question = await self.wait_question_briefly()
        self.assertIn('b1', question.boots)
        self.answer(question, 'b1', now=later)
        (claim,) = self.plan(later)
        self.assertIs(busy, claim.instance)

    async def test_tasks_of_a_step_ask_for_all_their_instances(self):
        """A suspect's question is replaced by that of a task beside it."""
        reserved = self.fleet[1]
        reserved.reserved_for = self.suspect.name
        reserved.reserved_until = NOW + 60.0
        self.other.not_before = 0.0
        self.assertEqual([], self.plan())
        question = await self.wait_question_briefly()
        self.assertEqual({'b0', 'b1', 'b2', 'b3'}, set(question.boots))


class BusyAdvisor(advisor.Advisor):
    """Rejects the first question."""

    def __init__(self):
        self.asked = 0

    async def ask(self, question):
        self.asked += 1
        if self.asked == 1:
            raise exceptions.AdvisorUnavailable('status 429')
        return advisor.Answer({}, VALID_SECONDS)
