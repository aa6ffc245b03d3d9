import types

from toucanrudder.document import model
from toucanrudder.router import state


def test_a_new_document_changes_existing_budgets():
    """Operators lower the retry ratio while a pool is failing.  The pool's
    budget was created under the old document; the new ratio must apply to
    it at once, not only after a restart.
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
