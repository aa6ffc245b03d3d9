"""Reading of configuration files that an operator names."""

import json
import pathlib

import attrs

from toucanrudder import errors

STEP = "command"


@attrs.frozen
class Proposal:
    """A document from a file, and the generation it was edited from."""

    document: dict
    generation: int | None = None


def _mistake(code: errors.Code, message: str) -> errors.RudderError:
    return errors.RudderError(code, message, step=STEP)


def read_proposal(path: str) -> Proposal:
    """Read a bare document, or what ``config show`` printed.

    Parameters
    ----------
    path : str
        Path of a JSON file.

    Raises
    ------
    RudderError
        ``not_found``, ``malformed_json`` or ``invalid_request``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        data = json.loads(text)
    except OSError as error:
        raise _mistake(errors.Code.NOT_FOUND, str(error)) from error
    except (ValueError, RecursionError) as error:
        raise _mistake(
            errors.Code.MALFORMED_JSON, f"{path}: {error}"
        ) from error
    if not isinstance(data, dict):
        raise _mistake(
            errors.Code.INVALID_REQUEST, f"{path}: not a JSON object"
        )
    if isinstance(data.get("document"), dict):
        return Proposal(data["document"], data.get("generation"))
    return Proposal(data)
