"""Exit codes of the command line."""

import enum

from toucanrudder.errors import codes


class Exit(enum.IntEnum):
    """What a shell script can decide on.

    ``MISTAKE`` asks for another input, ``CONFLICT`` for another look at
    what is in force, ``UNAVAILABLE`` for patience, ``UNKNOWN`` for a check
    of whether the change took effect.
    """

    DONE = 0
    FAILED = 1
    MISTAKE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5


_BY_CODE = {
    codes.Code.CONFIG_CONFLICT: Exit.CONFLICT,
    codes.Code.STORE_UNAVAILABLE: Exit.UNAVAILABLE,
    codes.Code.UPSTREAM_NOT_REACHED: Exit.UNAVAILABLE,
    codes.Code.UPSTREAM_TIMEOUT: Exit.UNKNOWN,
    codes.Code.UPSTREAM_FAILED: Exit.UNKNOWN,
    codes.Code.OUTCOME_UNKNOWN: Exit.UNKNOWN,
    codes.Code.NOT_CONFIGURED: Exit.UNAVAILABLE,
    codes.Code.STOPPING: Exit.UNAVAILABLE,
    codes.Code.INTERNAL: Exit.FAILED,
}


def for_code(code: codes.Code) -> Exit:
    """Return the exit code for an error's code.

    Examples
    --------
    >>> from toucanrudder import errors
    >>> for_code(errors.Code.CONFIG_CONFLICT)
    <Exit.CONFLICT: 3>
    >>> for_code(errors.Code.SETTINGS_INVALID)
    <Exit.MISTAKE: 2>
    """
    return _BY_CODE.get(code, Exit.MISTAKE)
