"""Lists the models that an organisation may use."""

from aiohttp import web

from toucanrudder.filters import exchange as exchanges


async def list_models(exchange: exchanges.Exchange) -> web.StreamResponse:
    """Answer ``GET /v1/models`` in the OpenAI shape."""
    allowed = exchange.organisation.models
    return web.json_response(
        {
            "object": "list",
            "data": [
                {
                    "id": each.name,
                    "object": "model",
                    "created": 0,
                    "owned_by": "toucanrudder",
                }
                for each in exchange.document.models
                if not allowed or each.name in allowed
            ],
        }
    )
