from persimmonsail import httpserver
from persimmonsail.jobs import advisor
from persimmonsail.platform import advisor as platform_advisor
from standins import advisor as stand_in
from tests import base


class AdvisorTest(base.TestCase):
    async def test_it_is_asked_about_ids_and_answers_for_boots(self):
        """No step runs anywhere: the advisor knows no births."""
        server = stand_in.AdvisorServer()
        async with httpserver.HttpServer(
            server.app, '127.0.0.1:0', 0.1
        ) as http:
            client = platform_advisor.PlatformAdvisor(http.address)
            question = advisor.Question('a.0.0', ('i-1@5', 'i-2'))
            answer = await client.ask(question)
            await client.close()
        self.assertEqual(
            {'i-1@5': 'a.0.0@i-1', 'i-2': 'a.0.0@i-2'}, answer.permits
        )
