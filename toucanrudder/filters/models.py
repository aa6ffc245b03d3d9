"""The list of models that an organisation may use."""

from aiohttp import web

from toucanrudder.filters import exchange as exchanges


async def list_models(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Answer ``GET /v1/models`` in the OpenAI format."""
    allowed = exchange.organisation.models
    return web.json_response(
        {
            "object": "list",
            "data": [
                {
                    "id": entry.name,
                    "object": "model",
                    "created": 0,
                    "owned_by": "toucanrudder",
                }
                for entry in exchange.document.models
                if not allowed or entry.name in allowed
            ],
        }
    )
