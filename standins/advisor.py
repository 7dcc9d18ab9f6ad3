"""Stand-in for the external placement advisor: ``python -m standins.advisor``.

Serves the platform's protocol. ``POST /policy`` sets the boots that may
run steps (default: all) and how many of the next questions get status
429; ``GET /questions`` returns the questions received. A permit contains
its step and boot, so that a worker's agent can check it by itself.
"""

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonsail import logs
from standins import serving

_VALID_MS = 3000
_MAX_WORKERS = 100


def make_permit(step: str, boot: str) -> str:
    """Return the permit for a step on one boot."""
    return f'{step}@{boot}'


class AdvisorServer:
    """Approves placements as its policy says."""

    def __init__(self) -> None:
        self._allowed: list[str] | None = None
        self._rejections_left = 0
        self._questions: list[dict] = []
        self.app = applications.Starlette(
            routes=[
                routing.Route('/v1/advise', self._advise, methods=['POST']),
                routing.Route('/policy', self._set_policy, methods=['POST']),
                routing.Route('/questions', self._list_questions),
            ]
        )

    async def _advise(self, request: requests.Request) -> responses.Response:
        body = await request.json()
        if self._rejections_left:
            self._rejections_left -= 1
            return responses.JSONResponse({}, status_code=429)
        if len(body['workers']) > _MAX_WORKERS:
            return responses.JSONResponse({}, status_code=400)
        self._questions.append(body)
        approved = [
            (boot, make_permit(body['phase'], boot))
            for boot in body['workers']
            if self._allowed is None or boot in self._allowed
        ]
        return responses.JSONResponse(
            {'approved': approved, 'validMs': _VALID_MS}
        )

    async def _set_policy(
        self, request: requests.Request
    ) -> responses.Response:
        body = await request.json()
        self._allowed = body.get('allowed')
        self._rejections_left = body.get('busy', 0)
        return responses.JSONResponse({})

    async def _list_questions(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(self._questions)


def main() -> None:
    """Run the stand-in until SIGTERM."""
    arguments = serving.parse_arguments('Advisor stand-in')
    logs.configure(arguments.name)
    anyio.run(serving.serve, AdvisorServer().app, arguments.listen)


if __name__ == '__main__':
    main()
