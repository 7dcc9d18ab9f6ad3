import itertools

from persimmonsail.bookkeeping import records
from persimmonsail.bookkeeping import tasks
from persimmonsail.catalogues import catalogue
from persimmonsail.decisions import admission
from persimmonsail.decisions import quotas
from tests import base

_NUMBERS = itertools.count()


def make_team(cores: float = 100, memory_gb: float = 400) -> catalogue.Team:
    return catalogue.Team.model_validate(
        {
            'objective': 'throughput',
            'cores': cores,
            'memory-gb': memory_gb,
        }
    )


def make_workload(owner: str, **options) -> catalogue.Workload:
    return catalogue.Workload.model_validate(
        {
            'owner': owner,
            'class': 'batch',
            'cores': 8,
            'memory-gb': 16,
            **options,
        }
    )


def make_task(team: str, workload: str) -> tasks.Task:
    return tasks.Task(f'{next(_NUMBERS):05d}', workload, team, '{}', 1)


def make_charge(task: tasks.Task, size: admission.Size) -> quotas.Charge:
    return quotas.Charge(task.id, task.team, task.workload, size)


SIZE = admission.Size(8, 16)
FLEET = admission.Size(1000, 4000)


class AccountsTest(base.TestCase):
    def test_a_task_is_charged_and_released_once(self):
        accounts = quotas.Accounts()
        task = make_task('a', 'build')
        for _ in range(2):
            accounts.charge(make_charge(task, SIZE))
        self.assertEqual(SIZE, accounts.find_usage('a'))
        self.assertEqual(1, accounts.count_running('build'))
        for _ in range(2):
            accounts.release(task.id)
        self.assertEqual(admission.Size(), accounts.find_usage('a'))
        self.assertEqual(0, accounts.count_running('build'))

    def test_charges_follow_the_phase_in_the_ledger(self):
        accounts = quotas.Accounts()
        task = make_task('a', 'build')
        task.phase = records.TaskPhase.CLAIMED
        quotas.note_task(accounts, task, SIZE)
        self.assertEqual(SIZE, accounts.find_usage('a'))
        task.phase = records.TaskPhase.SUCCEEDED
        quotas.note_task(accounts, task, SIZE)
        self.assertEqual(0, accounts.find_usage('a').cores)


class PolicyTest(base.TestCase):
    def test_team_never_exceeds_its_quota(self):
        """A burst of builds from one team must not starve the others.

        A team submits far more than its quota to an idle fleet; without
        accounts at the holder every build would start.
        """
        accounts = quotas.Accounts()
        workload = make_workload('a')
        policy = quotas.Policy(
            accounts, {'a': make_team(cores=100)}, FLEET, admission.Size()
        )
        reasons = []
        for _ in range(20):
            decision = policy.decide('a', 'build', workload, SIZE)
            reasons.append(decision.reason)
            if not decision.reason:
                policy.note_placed(make_charge(make_task('a', 'build'), SIZE))
        self.assertEqual([''] * 12 + ['quota'] * 8, reasons)
        self.assertEqual(96, accounts.find_usage('a').cores)

    def test_a_workload_stays_within_its_concurrency(self):
        accounts = quotas.Accounts()
        workload = make_workload('a', **{'max-concurrent': 2})
        policy = quotas.Policy(
            accounts, {'a': make_team()}, FLEET, admission.Size()
        )
        for _ in range(2):
            policy.note_placed(make_charge(make_task('a', 'build'), SIZE))
        decision = policy.decide('a', 'build', workload, SIZE)
        self.assertEqual('max-concurrent', decision.reason)

    def test_a_resource_without_quota_is_refused(self):
        policy = quotas.Policy(
            quotas.Accounts(), {'a': make_team()}, FLEET, admission.Size()
        )
        decision = policy.decide(
            'a', 'train', make_workload('a'), admission.Size(1, 1, 1)
        )
        self.assertEqual('quota', decision.reason)

    def test_entitlement_shrinks_when_quotas_are_over_subscribed(self):
        teams = [make_team(cores=100) for _ in range(20)]
        self.assertEqual(0.5, quotas.find_entitlement(teams, FLEET))
        self.assertEqual(1.0, quotas.find_entitlement(teams[:10], FLEET))

    def test_only_a_team_below_its_entitlement_gets_the_reserve(self):
        accounts = quotas.Accounts()
        teams = {name: make_team(1000, 4000) for name in 'ab'}
        policy = quotas.Policy(
            accounts, teams, FLEET, admission.Size(895, 100)
        )
        for _ in range(63):
            accounts.charge(make_charge(make_task('a', 'build'), SIZE))
        workload = make_workload('a')
        above_entitlement = policy.decide('a', 'build', workload, SIZE)
        below_entitlement = policy.decide('b', 'build', workload, SIZE)
        self.assertEqual('fair-share', above_entitlement.reason)
        self.assertEqual('', below_entitlement.reason)


class ArrangeTest(base.TestCase):
    def test_150_teams_share_an_over_subscribed_fleet(self):
        """Teams must not wait behind an earlier team's thousand builds.

        One team queues a thousand builds before 149 others queue ten
        each; in order of arrival it would occupy the whole fleet.
        """
        accounts = quotas.Accounts()
        names = [f'team-{number:03d}' for number in range(150)]
        teams = {name: make_team(cores=100) for name in names}
        fleet = admission.Size(150 * 16, 10000)
        policy = quotas.Policy(accounts, teams, fleet, admission.Size())
        workloads = {name: make_workload(name) for name in names}
        queue = [make_task(names[0], names[0]) for _ in range(1000)]
        for name in names[1:]:
            queue += [make_task(name, name) for _ in range(10)]
        placed: dict[str, int] = {}
        for task in quotas.arrange_by_fair_share(queue, workloads, policy):
            decision = policy.decide(
                task.team, task.workload, workloads[task.workload], SIZE
            )
            if decision.reason or sum(placed.values()) >= 300:
                continue
            policy.note_placed(make_charge(task, SIZE))
            placed[task.team] = placed.get(task.team, 0) + 1
        self.assertEqual(set(names), set(placed))
        self.assertLessEqual(
            max(placed.values()) - min(placed.values()), 1, placed
        )

    def test_urgent_tasks_go_first_then_the_order_of_acceptance(self):
        teams = {name: make_team() for name in 'ab'}
        policy = quotas.Policy(
            quotas.Accounts(), teams, FLEET, admission.Size()
        )
        workloads = {
            'slow': make_workload('a'),
            'fast': make_workload('b', urgent='yes'),
        }
        first, second = make_task('a', 'slow'), make_task('a', 'slow')
        urgent = make_task('b', 'fast')
        without_workload = make_task('a', 'removed')
        arranged = quotas.arrange_by_fair_share(
            [first, second, without_workload, urgent], workloads, policy
        )
        self.assertEqual([urgent, first, second], list(arranged))
