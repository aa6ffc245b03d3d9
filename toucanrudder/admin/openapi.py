"""OpenAPI document, generated from the table of operations."""

from collections.abc import Iterable
import re

import toucanrudder
from toucanrudder.admin import middleware
from toucanrudder.admin import operations
from toucanrudder.admin import schemas
from toucanrudder.errors import codes

_PARAMETER = re.compile(r"{(\w+)}")


def _responses(operation: operations.Operation) -> dict:
    content = {"text/plain": {"schema": {"type": "string"}}}
    if operation.response_schema:
        content = {"application/json": {"schema": operation.response_schema}}
    responses = {"200": {"description": "Done", "content": content}}
    failures = {*operation.error_codes, codes.Code.INTERNAL}
    if operation.path not in middleware.PUBLIC:
        failures.add(codes.Code.UNAUTHORIZED)
    by_status: dict[str, list[str]] = {}
    for code in failures:
        status = str(int(codes.TRAITS[code].status))
        by_status.setdefault(status, []).append(code.value)
    for status, names in sorted(by_status.items()):
        responses[status] = {
            "description": ", ".join(sorted(names)),
            "content": {
                "application/json": {
                    "schema": {"$ref": "#/components/schemas/Error"}
                }
            },
        }
    return responses


def _parameters(operation: operations.Operation) -> list[dict]:
    parameters = [
        {
            "name": name,
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
        for name in _PARAMETER.findall(operation.path)
    ]
    if codes.Code.BAD_HEADER in operation.error_codes:
        parameters.append(
            {
                "name": "X-Operator",
                "in": "header",
                "required": False,
                "description": "Operator's name for the audit log.",
                "schema": {"type": "string"},
            }
        )
    return parameters


def _describe_operation(operation: operations.Operation) -> dict:
    description = {
        "operationId": operation.handler.__name__,
        "summary": operation.handler.__doc__.splitlines()[0],
        "parameters": _parameters(operation),
        "responses": _responses(operation),
        "security": (
            [] if operation.path in middleware.PUBLIC else [{"token": []}]
        ),
    }
    if operation.body_schema:
        description["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": operation.body_schema}},
        }
    return description


def document(
    table: Iterable[operations.Operation] = operations.OPERATIONS,
) -> dict:
    """Return the OpenAPI document of the operations in `table`."""
    paths: dict[str, dict] = {}
    for operation in table:
        method = operation.method.lower()
        paths.setdefault(operation.path, {})[method] = _describe_operation(
            operation
        )
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "toucanrudder admin API",
            "version": toucanrudder.__version__,
        },
        "paths": paths,
        "components": {
            "schemas": {"Error": schemas.ERROR},
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }
