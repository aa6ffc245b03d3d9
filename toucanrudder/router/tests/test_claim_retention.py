import pytest

from toucanrudder.document import model
from toucanrudder.router import assembly

KEPT = [
    # the document's bound, times of its services, how long claims are kept
    (60.0, (), 60.0),
    (60.0, (30.0, 45.0), 60.0),
    (60.0, (30.0, 3600.0), 3600.0),
]


@pytest.mark.parametrize(("bound_s", "services_s", "kept_s"), KEPT)
def test_no_call_outlasts_its_claim(bound_s, services_s, kept_s):
    """A claim ends while its call runs, and the resend runs beside it."""
    document = model.Document(
        services=tuple(
            model.Service(f"s{number}", timeout_s=timeout_s)
            for number, timeout_s in enumerate(services_s)
        ),
        policy=model.Policy(claim_retention_s=bound_s),
    )
    assert assembly.claim_retention_s(document) == kept_s
