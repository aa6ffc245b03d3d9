"""Commands on the configuration document."""

import urllib.parse

import attrs
from fire import decorators

from toucanrudder import errors
from toucanrudder.cli import client
from toucanrudder.cli import exits
from toucanrudder.cli import files
from toucanrudder.cli import output


def _print_problems(problems: list[dict]) -> None:
    for problem in problems:
        output.complain(f"{problem['path']}: {problem['message']}")


def _validated(path: str) -> list[dict]:
    from toucanrudder.document import validation

    try:
        validation.parse(files.read_proposal(path).document)
    except validation.DocumentInvalid as error:
        return [attrs.asdict(problem) for problem in error.problems]
    return []


_AS_TEXT = decorators.SetParseFns(
    file=str, admin=str, token_file=str, in_force=str
)


class Configuration:
    """Show, check, compare and apply the configuration document.

    Each command but `validate` asks a router's admin API, `check` only if
    one answers: --admin URL, or the environment's TOUCANRUDDER_ADMIN; the
    token comes from --token_file or TOUCANRUDDER_TOKEN.
    """

    @_AS_TEXT
    def validate(self, file: str, json: bool = False) -> exits.Exit:
        """Check a document without a router; list all problems.

        Example: toucanrudder config validate config.json
        Exits with 0, or with 2 when the document has problems.
        """
        problems = _validated(file)
        if json:
            output.emit_json({"valid": not problems, "problems": problems})
        elif problems:
            _print_problems(problems)
        else:
            print(f"{file}: valid")
        return exits.Exit.MISTAKE if problems else exits.Exit.DONE

    @_AS_TEXT
    def check(
        self,
        file: str,
        in_force: str | None = None,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Check a document before it is sent; sends and changes nothing.

        Lists mistakes, entries that nothing can reach, limits that
        contradict each other, and what changes, by its meaning, against
        the version in force: that of --in_force, else that of a router.

        Example: toucanrudder config check config.json --in_force old.json
        Exits with 0, or with 2 when the document has mistakes.
        """
        from toucanrudder.cli import documentcheck

        found = documentcheck.check(file, in_force, admin, token_file)
        if json:
            output.emit_json(found.as_json())
        else:
            print(documentcheck.text(file, found))
        return exits.Exit.DONE if found.is_valid else exits.Exit.MISTAKE

    @_AS_TEXT
    def show(
        self, admin: str | None = None, token_file: str | None = None
    ) -> exits.Exit:
        """Print what is in force, with its generation, as JSON.

        Example: toucanrudder config show > config.json
        """
        where = client.target(admin, token_file)
        output.emit_json(client.call(where, "GET", "/configuration"))
        return exits.Exit.DONE

    @_AS_TEXT
    def diff(
        self,
        file: str,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Compare a document with what is in force.

        Example: toucanrudder config diff config.json
        """
        where = client.target(admin, token_file)
        proposal = files.read_proposal(file)
        answer = client.call(where, "POST", "/diff", proposal.document)
        if json:
            output.emit_json(answer)
            return exits.Exit.DONE
        print(f"against generation {answer['generation']}:")
        for change in answer["changes"]:
            print("  " + ", ".join(f"{k}={v}" for k, v in change.items()))
        if not answer["changes"]:
            print("  no changes")
        return exits.Exit.DONE

    @_AS_TEXT
    def apply(
        self,
        file: str,
        generation: int | None = None,
        json: bool = False,
        admin: str | None = None,
        token_file: str | None = None,
    ) -> exits.Exit:
        """Put a document in force, if nobody changed it meanwhile.

        The generation it was edited from is in the file when `config show`
        wrote it; for a bare document give --generation (0 for the first).

        Example: toucanrudder config apply config.json --generation 7
        Exits with 3 when another generation is in force by now, with 5
        when the outcome is unknown: look with `config show`.
        """
        where = client.target(admin, token_file)
        proposal = files.read_proposal(file)
        expected = proposal.generation if generation is None else generation
        if type(expected) is not int:
            raise errors.RudderError(
                errors.Code.INVALID_REQUEST,
                "give --generation, the number that `config show` prints",
                step=files.STEP,
            )
        body = {
            "expected_generation": expected,
            "document": proposal.document,
        }
        answer = client.call(where, "POST", "/apply", body)
        if json:
            output.emit_json(answer)
        else:
            print(f"generation {answer['generation']} is in force")
        return exits.Exit.DONE


def set_drained(where: client.Target, upstream: str, verb: str) -> dict:
    """Ask the router to drain or undrain the upstream."""
    name = urllib.parse.quote(upstream, safe="")
    return client.call(where, "POST", f"/upstreams/{name}/{verb}")
