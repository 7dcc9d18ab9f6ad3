"""Validates HTTP responses against the OpenAPI documents."""

import json
import pathlib
import typing as t

import httpx
import jsonschema
import referencing
import referencing.jsonschema

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'
FILE = _DOCS / 'openapi.json'
JOBS_FILE = _DOCS / 'openapi-jobs.json'
_BASE = 'urn:persimmonsail:openapi'
_ANY = '*/*'

DocumentedResponse = tuple[str, str, str]


class Contract:
    """An OpenAPI document, and which of its responses were covered."""

    def __init__(self, file: pathlib.Path = FILE) -> None:
        self.document = json.loads(file.read_text(encoding='utf-8'))
        resource = referencing.Resource.from_contents(
            self.document,
            default_specification=referencing.jsonschema.DRAFT202012,
        )
        self._registry = referencing.Registry().with_resource(_BASE, resource)
        self.covered: set[DocumentedResponse] = set()
        self.covered_fields: set[str] = set()

    def list_operations(self) -> set[tuple[str, str]]:
        """Return every method and path of the document."""
        return {
            (method, path)
            for path, item in self.document['paths'].items()
            for method in item
        }

    def list_responses(self) -> set[DocumentedResponse]:
        """Return every method, path and status of the document."""
        return {
            (method, path, status)
            for path, item in self.document['paths'].items()
            for method, operation in item.items()
            for status in operation['responses']
        }

    def list_fields(self) -> set[str]:
        """Return every field of the response bodies."""
        schemas = self.document['components']['schemas']
        return {
            f'{name}.{field}'
            for name in ('Task', 'Problem')
            for field in schemas[name]['properties']
        }

    def check(self, method: str, path: str, response: httpx.Response) -> None:
        """Validate a response of an operation, and record it as covered.

        Raises
        ------
        AssertionError, jsonschema.ValidationError
            If the document does not allow the response.
        """
        operation = self.document['paths'][path][method]
        status = str(response.status_code)
        assert status in operation['responses'], (method, path, response.text)
        documented = self._resolve(operation['responses'][status])
        self._check_headers(documented.get('headers', {}), response)
        self._check_body(documented['content'], response)
        self.covered.add((method, path, status))

    def check_problem(self, response: httpx.Response) -> None:
        """Validate a problem response of an undocumented operation."""
        assert response.headers['content-type'] == 'application/problem+json'
        self._validate(
            {'$ref': f'{_BASE}#/components/schemas/Problem'}, response.json()
        )

    def _check_headers(
        self, documented: dict[str, t.Any], response: httpx.Response
    ) -> None:
        for name, header in documented.items():
            header = self._resolve(header)
            value: t.Any = response.headers.get(name)
            if value is None:
                assert not header.get('required'), name
                continue
            if header['schema'].get('type') == 'integer':
                value = int(value)
            self._validate(header['schema'], value)

    def _check_body(
        self, content: dict[str, t.Any], response: httpx.Response
    ) -> None:
        media_type = response.headers['content-type'].partition(';')[0]
        assert media_type in content or _ANY in content, media_type
        schema = content.get(media_type, {}).get('schema')
        if schema is None:
            return
        is_json = media_type.endswith('json')
        body = response.json() if is_json else response.text
        self._validate(self._make_absolute(schema), body)
        if is_json:
            name = 'Problem' if 'title' in body else 'Task'
            self.covered_fields |= {f'{name}.{field}' for field in body}

    def _validate(self, schema: t.Any, value: t.Any) -> None:
        jsonschema.Draft202012Validator(
            schema, registry=self._registry
        ).validate(value)

    def _make_absolute(self, schema: dict[str, t.Any]) -> dict[str, t.Any]:
        if '$ref' in schema:
            return {'$ref': f'{_BASE}{schema["$ref"]}'}
        return schema

    def _resolve(self, item: dict[str, t.Any]) -> dict[str, t.Any]:
        if '$ref' not in item:
            return item
        resolver = self._registry.resolver(_BASE)
        return resolver.lookup(item['$ref']).contents
