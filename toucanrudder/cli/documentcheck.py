"""The command that checks a configuration document before it is sent."""

import attrs

from toucanrudder import errors
from toucanrudder.cli import client
from toucanrudder.cli import files
from toucanrudder.document import check as checks
from toucanrudder.document import model
from toucanrudder.document import validation


@attrs.frozen
class Against:
    """The version that a document is compared with.

    Parameters
    ----------
    source : str
        File or router that it comes from.
    generation : int or None
        Its generation; None if the file states none.
    document : model.Document or None
        None if there is none to compare with.
    reason : str
        Why there is none.
    """

    source: str
    generation: int | None = None
    document: model.Document | None = None
    reason: str = ""


@attrs.frozen
class Result:
    """Findings, and what the document was compared with."""

    findings: tuple[checks.Finding, ...]
    against: Against

    @property
    def is_valid(self) -> bool:
        """Whether routers would accept the document."""
        return self.count(checks.Severity.ERROR) == 0

    def count(self, severity: checks.Severity) -> int:
        """Return the number of findings of the severity."""
        return sum(each.severity is severity for each in self.findings)

    def as_json(self) -> dict:
        """Return the result as JSON values."""
        return {
            "valid": self.is_valid,
            "compared": {
                "with": self.against.source,
                "generation": self.against.generation,
                "not_compared": self.against.reason,
            },
            "findings": [each.as_json() for each in self.findings],
        }


def check(
    path: str,
    in_force: str | None = None,
    admin: str | None = None,
    token_file: str | None = None,
) -> Result:
    """Check the document of a file.

    Parameters
    ----------
    path : str
        File with a bare document, or what ``config show`` printed.
    in_force : str, optional
        File with the version in force; without it a router is asked.
    admin, token_file : str, optional
        As for the other commands.

    Raises
    ------
    RudderError
        A file cannot be read, or that of the version in force is invalid.
    """
    proposal = files.read_proposal(path)
    if in_force is None:
        against = _from_router(client.target(admin, token_file))
    else:
        against = _from_file(in_force)
    found = checks.check(proposal.document, against.document)
    if against.document is not None and any(
        each.severity is checks.Severity.ERROR for each in found
    ):
        against = Against(against.source, reason="the document is invalid")
    return Result(found, against)


def _from_file(path: str) -> Against:
    proposal = files.read_proposal(path)
    try:
        document = validation.parse(proposal.document)
    except validation.DocumentInvalid as error:
        raise errors.RudderError(
            error.code, f"{path}: {error.message}", step=files.STEP
        ) from error
    return Against(path, proposal.generation, document)


def _from_router(where: client.Target) -> Against:
    try:
        answer = client.call(where, "GET", "/configuration")
        document = validation.parse(answer["document"])
    except errors.RudderError as error:
        return Against(where.address, reason=str(error))
    except (KeyError, TypeError):
        return Against(where.address, reason="the answer holds no document")
    return Against(where.address, answer.get("generation"), document)


def text(path: str, result: Result) -> str:
    """Return the result for a person."""
    lines = []
    for each in result.findings:
        lines.append(f"{each.severity.value} {each.path}: {each.message}")
        if each.right:
            lines.append(f"    right: {each.right}")
    against = result.against
    if against.reason:
        lines.append(f"not compared with {against.source}: {against.reason}")
    else:
        of = f", generation {against.generation}" * bool(against.generation)
        lines.append(f"compared with {against.source}{of}")
    counts = ", ".join(
        f"{severity.value}s: {result.count(severity)}"
        for severity in checks.Severity
    )
    state = "valid" if result.is_valid else "invalid"
    lines.append(f"{path}: {state}; {counts}")
    return "\n".join(lines)
