import pytest

from toucanrudder.document import model
from toucanrudder.router import assembly

CASES = [
    # retention in the document, timeouts of its services, claim retention
    (60.0, (), 60.0),
    (60.0, (30.0, 45.0), 60.0),
    (60.0, (30.0, 3600.0), 3600.0),
]


@pytest.mark.parametrize(("policy_s", "timeouts_s", "retention_s"), CASES)
def test_no_call_outlasts_its_claim(policy_s, timeouts_s, retention_s):
    """If a claim expires during its call, a resend of the call runs too."""
    document = model.Document(
        services=tuple(
            model.Service(f"s{number}", timeout_s=timeout_s)
            for number, timeout_s in enumerate(timeouts_s)
        ),
        policy=model.Policy(claim_retention_s=policy_s),
    )
    assert assembly.claim_retention_s(document) == retention_s
