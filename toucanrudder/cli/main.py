"""Entry point of the command ``toucanrudder``."""

import os
import sys
import warnings

import fire

from toucanrudder import errors
from toucanrudder.cli import commands
from toucanrudder.cli import exits
from toucanrudder.cli import output


def _complain(error: errors.RudderError) -> None:
    output.complain(str(error))
    for problem in getattr(error, "problems", ()):
        if isinstance(problem, dict):
            path, message = problem["path"], problem["message"]
        else:
            path, message = problem.path, problem.message
        output.complain(f"  {path}: {message}")


def main(arguments: list[str] | None = None) -> None:
    """Run one command and exit with its code.

    Parameters
    ----------
    arguments : list of str, optional
        Words after the program's name; by default those of the process.
    """
    # fire tries each word as a Python literal, which warns of some paths.
    warnings.filterwarnings("ignore", category=SyntaxWarning)
    try:
        result = fire.Fire(
            commands.Commands,
            command=arguments,
            name="toucanrudder",
            serialize=_without_exits,
        )
    except errors.RudderError as error:
        _complain(error)
        sys.exit(exits.for_code(error.code))
    except BrokenPipeError:
        # The reader of a pipe has left.  Without another standard output
        # the interpreter would complain once more while it ends.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(exits.Exit.FAILED)
    except KeyboardInterrupt:
        sys.exit(exits.Exit.FAILED)
    if isinstance(result, exits.Exit):
        sys.exit(int(result))


def _without_exits(value: object) -> object:
    return None if isinstance(value, exits.Exit) else value
