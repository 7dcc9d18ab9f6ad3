from persimmonsail.jobs import commits
from persimmonsail.jobs import instances
from persimmonsail.jobs import ledger
from persimmonsail.jobs import placer
from tests import base
from tests.jobs import cases


class SplitTest(base.TestCase):
    def test_a_transaction_takes_a_bounded_number_of_rows(self):
        ids = [f'{number:03}' for number in range(50)]
        claims = {id: [self.make_claim(id)] for id in ids[10:40]}
        groups = list(commits.split_rows(ids, claims))
        self.assertEqual(ids, [id for group in groups for id in group])
        for group in groups:
            claimed = claims.keys() & set(group)
            zones = {claims[id][0].instance.zone for id in claimed}
            rows = len(group) + len(claimed) + len(zones)
            self.assertLessEqual(rows, ledger.MAX_ROWS)

    def make_claim(self, id):
        """Return a claim in one of seven zones."""
        (task,) = cases.make_job(id=id).tasks.values()
        instance = cases.make_instance(zone=f'zone-{int(id) % 7}')
        run = instances.Run(
            task.name, 1, instance.boot, task.step, cases.QUEUE.name
        )
        return placer.Claim(task, run, instance)
