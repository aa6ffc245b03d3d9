"""What a check of a document finds."""

import enum

import attrs


class Severity(enum.Enum):
    """What a finding means for the document."""

    #: Routers refuse the document.
    ERROR = "error"
    #: Routers accept it, but a part has no effect or contradicts another.
    WARNING = "warning"
    #: It differs from the version in force.
    CHANGE = "change"


class Kind(enum.Enum):
    """Subject of a finding."""

    INVALID = "invalid"
    #: No request can reach the entry, or nothing can serve it.
    UNREACHABLE = "unreachable"
    #: Two limits exclude each other.
    CONTRADICTION = "contradiction"
    #: Who may call what.
    ACCESS = "access"
    LIMIT = "limit"
    PRIORITY = "priority"
    #: Which calls of a service may be repeated.
    ROUTE = "route"
    #: Which upstreams serve a model or a service.
    CAPACITY = "capacity"
    #: Any other value.
    SETTING = "setting"


@attrs.frozen
class Finding:
    """One finding of a check.

    Parameters
    ----------
    kind : Kind
        Subject.
    severity : Severity
        Whether routers would refuse the document.
    path : str
        JSON path in the checked file; that of the list for an entry that
        exists only in the version in force.
    message : str
        Description of what was found.
    right : str
        What would be right; empty for changes.
    """

    kind: Kind
    severity: Severity
    path: str
    message: str
    right: str = ""

    def as_json(self) -> dict[str, str]:
        """Return the finding as JSON values."""
        return {
            "kind": self.kind.value,
            "severity": self.severity.value,
            "path": self.path,
            "message": self.message,
            "right": self.right,
        }


def unreachable(path: str, message: str, right: str) -> Finding:
    """Return the finding of an entry that no request can reach."""
    return Finding(Kind.UNREACHABLE, Severity.WARNING, path, message, right)


def contradiction(path: str, message: str, right: str) -> Finding:
    """Return the finding of two limits that exclude each other."""
    return Finding(Kind.CONTRADICTION, Severity.WARNING, path, message, right)


def change(kind: Kind, path: str, message: str) -> Finding:
    """Return the finding of a difference from the version in force."""
    return Finding(kind, Severity.CHANGE, path, message)
