"""Client of the platform's advisor, which approves workers for a step."""

import http

import pydantic

from persimmonsail import exceptions
from persimmonsail import httpclient
from persimmonsail.jobs import advisor
from persimmonsail.jobs import boots

# An answer about thirty workers takes as long as the operators'
# configuration says, some tenths of a second for most queues; the timeout
# is for an advisor that does not answer at all.
_TIMEOUT_SECONDS = 5.0
_MILLISECONDS = 1000


class _Answer(pydantic.BaseModel):
    # Rows of a worker's id and its permit.
    approved: tuple[tuple[str, str], ...] = ()
    valid_ms: int = pydantic.Field(default=0, alias='validMs')


class PlatformAdvisor(advisor.Advisor):
    """Asks the platform's advisor over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = httpclient.Client(address, _TIMEOUT_SECONDS)

    async def ask(self, question: advisor.Question) -> advisor.Answer:
        """See ``Advisor.ask``."""
        # The advisor calls a step a phase; the form of the name is the same.
        boots_by_id = {boots.split(boot)[0]: boot for boot in question.boots}
        body = {'phase': question.step, 'workers': list(boots_by_id)}
        try:
            answer = await self._client.call('POST', '/v1/advise', body)
        except exceptions.ServiceUnavailable as error:
            raise exceptions.AdvisorUnavailable(str(error)) from error
        if answer.status != http.HTTPStatus.OK:
            raise exceptions.AdvisorUnavailable(f'status {answer.status}')
        try:
            found = _Answer.model_validate_json(answer.content)
        except pydantic.ValidationError as error:
            raise exceptions.AdvisorUnavailable('unreadable answer') from error
        permits = {
            boots_by_id[agent_id]: permit
            for agent_id, permit in found.approved
            if agent_id in boots_by_id
        }
        return advisor.Answer(permits, found.valid_ms / _MILLISECONDS)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
