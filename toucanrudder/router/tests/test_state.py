import types

from toucanrudder.document import model
from toucanrudder.router import state


def test_a_new_document_changes_the_budgets_that_exist():
    """Operators lower the retries allowed while a pool is failing.  The
    pool's budget was made under the old document; the new ratio must hold
    for it at once, not after a restart.
    """
    documents = [
        model.Document(policy=model.Policy(retry_ratio=ratio))
        for ratio in (0.5, 0.1)
    ]
    router = types.SimpleNamespace(_budgets={}, document=lambda: documents[0])
    first = state.RouterState.budget(router, "demo")
    assert first.ratio == 0.5
    documents.pop(0)
    assert state.RouterState.budget(router, "demo") is first
    assert first.ratio == 0.1
