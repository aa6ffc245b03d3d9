import pytest

from toucanrudder import errors
from toucanrudder.errors import codes


@pytest.mark.parametrize("code", list(codes.Code))
def test_each_code_has_traits(code):
    error = errors.RudderError(code, "message", step="step", peer="peer")
    assert 400 <= error.status < 600
    body = error.as_body("r-1")["error"]
    assert body["code"] == code.value
    assert (body["step"], body["peer"]) == ("step", "peer")
