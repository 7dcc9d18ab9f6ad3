import base64

from persimmonsail.platform import kvstore
from tests import base


class ValueTest(base.TestCase):
    def test_an_undecodable_value_hides_no_other_entry(self):
        """No leader can load its jobs: each scan of their prefix fails.

        Another writer had stored bytes there that are not text, and the
        complete page was rejected as not an answer of the store.
        """
        for value in ('%%%', base64.b64encode(b'\xff\xfe\x80').decode()):
            item = kvstore._Item(key='inbox/job/x', value=value, revision=3)
            self.assertEqual('', kvstore._to_item(item).value)
            event = kvstore._Event(key='inbox/job/x', value=value, revision=3)
            self.assertEqual('', kvstore._to_change(event).value)
        good = base64.b64encode('đã'.encode()).decode()
        item = kvstore._Item(key='inbox/job/y', value=good, revision=4)
        self.assertEqual('đã', kvstore._to_item(item).value)
