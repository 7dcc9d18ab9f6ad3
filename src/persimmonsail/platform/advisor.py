"""The platform's advisor: which workers may run a step."""

import http

import pydantic

from persimmonsail import exceptions
from persimmonsail import httpclient
from persimmonsail.jobs import advisor

# An answer about thirty workers takes what the operators' configuration
# says, some tenths of a second in most queues; the deadline is for an
# advisor that does not answer at all.
_TIMEOUT_SECONDS = 5.0
_MILLISECONDS = 1000


class _Answer(pydantic.BaseModel):
    # Rows of a worker's boot and the ticket for it.
    approved: tuple[tuple[str, str], ...] = ()
    valid_ms: int = pydantic.Field(default=0, alias='validMs')


class PlatformAdvisor(advisor.Advisor):
    """Asks the platform's advisor over HTTP."""

    def __init__(self, address: str) -> None:
        self._client = httpclient.Client(address, _TIMEOUT_SECONDS)

    async def ask(self, question: advisor.Question) -> advisor.Answer:
        """See ``Advisor.ask``."""
        # A step's name has the form that the advisor calls a phase.
        body = {'phase': question.step, 'workers': list(question.boots)}
        try:
            answer = await self._client.call('POST', '/v1/advise', body)
        except exceptions.ServiceUnavailable as error:
            raise exceptions.AdvisorUnavailable(str(error)) from error
        if answer.status != http.HTTPStatus.OK:
            raise exceptions.AdvisorUnavailable(f'status {answer.status}')
        try:
            found = _Answer.model_validate_json(answer.content)
        except pydantic.ValidationError as error:
            raise exceptions.AdvisorUnavailable('not readable') from error
        return advisor.Answer(
            dict(found.approved), found.valid_ms / _MILLISECONDS
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
