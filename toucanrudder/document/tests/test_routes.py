import pytest

from toucanrudder.document import model
from toucanrudder.document import routes

SERVICE = model.Service(
    "desk",
    (
        model.Route("POST", "/quotes", True),
        model.Route("GET", "/reset", False),
        model.Route("*", "/open/", True),
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/quotes", True),
        ("POST", "/quotes/7", True),
        ("POST", "/quotes-final", False),
        ("PUT", "/quotes", False),
        ("POST", "/bookings", False),
        ("GET", "/bookings", True),
        ("GET", "/reset", False),
        ("DELETE", "/open/a", True),
    ],
)
def test_first_matching_route_sets_repeatability(method, path, expected):
    assert routes.is_repeatable(SERVICE, method, path) is expected
