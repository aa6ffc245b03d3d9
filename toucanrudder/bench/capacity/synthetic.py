"""Documents of any size, with the proportions of the target system."""

import hashlib

from toucanrudder.document import model

ZONES = 13
ENGINES_PER_ORGANISATION = 1100 / 2000
MODELS = tuple(model.Model(f"model-{n}", f"2026-{n}") for n in range(3))


def digest(key: str) -> str:
    """Return the digest of an API key, as documents hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def organisation(number: int) -> model.Organisation:
    """Return an organisation with one API key."""
    name = f"organisation-{number:04d}"
    return model.Organisation(name, (digest(name),), requests_per_s=20.0)


def engine(number: int) -> model.Upstream:
    """Return an engine; addresses differ."""
    address = f"10.{number >> 8 & 255}.{number & 255}.1:8000"
    return model.Upstream(
        f"engine-{number:04d}",
        model.ENGINE,
        address,
        f"zone-{number % ZONES:02d}",
        f"pool-{number % len(MODELS)}",
        (MODELS[number % len(MODELS)].name,),
    )


def document(organisations: int) -> model.Document:
    """Return a document with engines in proportion to organisations."""
    engines = max(1, round(organisations * ENGINES_PER_ORGANISATION))
    return model.Document(
        organisations=tuple(map(organisation, range(organisations))),
        models=MODELS,
        upstreams=tuple(map(engine, range(engines))),
    )
