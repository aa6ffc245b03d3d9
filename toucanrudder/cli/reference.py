"""Generates the reference pages from the code that they describe.

Run ``python -m toucanrudder.cli.reference`` in the repository's root after
a change of options or of the admin API; a test compares the pages.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import json
import pathlib

import attrs
from oslo_config import cfg

from toucanrudder.admin import openapi
from toucanrudder.observability import decisions
from toucanrudder.settings import forwarding
from toucanrudder.settings import options

SETTINGS_PAGE = "docs/operators/settings.md"
FORWARDING_PAGE = "docs/operators/forwarding-settings.md"
EVENTS_PAGE = "docs/operators/events.md"
SAMPLE = "docs/operators/router.ini"
OPENAPI = "docs/operators/admin-openapi.json"

# Values of required options in the sample.
_EXAMPLES = {
    "name": "router-1",
    "zone": "eindhoven-hal",
    "fleet_key": "replace-this-by-a-long-secret",
    "address": "127.0.0.1:7000",
}
_WORDS = {
    cfg.StrOpt: "text",
    cfg.IntOpt: "integer",
    cfg.FloatOpt: "number",
    cfg.PortOpt: "port, 0 to 65535",
    cfg.IPOpt: "IP address",
    cfg.ListOpt: "list, comma separated",
}


def _value(option: cfg.Opt) -> str:
    if isinstance(option.default, list):
        return ", ".join(option.default)
    return str(option.default)


def _type(option: cfg.Opt) -> str:
    word = _WORDS[type(option)]
    choices = getattr(option.type, "choices", None)
    if choices:
        return "one of " + ", ".join(f"`{choice}`" for choice in choices)
    if isinstance(option, cfg.IntOpt | cfg.FloatOpt) and not isinstance(
        option, cfg.PortOpt
    ):
        low, high = option.type.min, option.type.max
        if high is None:
            return f"{word}, at least {low}"
        return f"{word}, {low} to {high}"
    return word


def _default(option: cfg.Opt) -> str:
    if option.required:
        return "required"
    return f"`{_value(option)}`" if _value(option) else "empty"


def settings_page() -> str:
    """Return the settings reference as Markdown."""
    intro = [
        "# Settings",
        "",
        "Made from `toucanrudder/settings/options.py` by",
        "`python -m toucanrudder.cli.reference`. A router reads one INI file;",
        "an unknown section or option, a wrong type and a value out of bounds",
        "are errors that name the file and the option. `toucanrudder check",
        "FILE` says whether a router would start with it.",
        "`docs/operators/router.ini` is a file to begin with.",
    ]
    return _options_page(intro, options.GROUPS)


def forwarding_page() -> str:
    """Return the settings reference of the forwarding router."""
    intro = [
        "# Settings of the forwarding router",
        "",
        "Made from `toucanrudder/settings/forwarding.py` by",
        "`python -m toucanrudder.cli.reference`. On the prepared instances",
        "the file is made from the template `deploy/router.ini`.",
    ]
    return _options_page(intro, forwarding.GROUPS)


def events_page() -> str:
    """Return the catalogue of log lines."""
    lines = [
        "# Log lines of the forwarding router",
        "",
        "Made from `toucanrudder/observability/decisions.py` by",
        "`python -m toucanrudder.cli.reference`. Each line on standard output",
        "is one JSON object with `at` (wall clock), `level` and `event`, and",
        "the fields of that event. Fields that end in `_s` are seconds, ages",
        "and times left included. `LinesDropped` says how many lines of which",
        "kind found no room because the reader of the output was too slow;",
        "[the way from a request to its cause](../OPERATIONS.md) shows how",
        "lines are read.",
        "",
        "| event | meaning | fields |",
        "| --- | --- | --- |",
    ]
    for kind in decisions.KINDS:
        fields = ", ".join(f"`{field.name}`" for field in attrs.fields(kind))
        # A line break would end the table.
        meaning = " ".join(kind.__doc__.split())
        lines.append(f"| `{kind.__name__}` | {meaning} | {fields} |")
    return "\n".join(lines) + "\n"


def _options_page(
    lines: list[str], groups: Mapping[str, tuple[cfg.Opt, ...]]
) -> str:
    for group, group_options in groups.items():
        lines += [
            "",
            f"## [{group}]",
            "",
            "| option | type | default | meaning |",
            "| --- | --- | --- | --- |",
        ]
        for option in group_options:
            secret = " Secret: never logged." if option.secret else ""
            lines.append(
                f"| `{option.dest}` | {_type(option)} | {_default(option)} "
                f"| {option.help}{secret} |"
            )
    return "\n".join(lines) + "\n"


def _sample_lines() -> Iterator[str]:
    yield "# Settings of one router. Lines that start with '# name =' show"
    yield "# defaults; remove the '#' to set another value."
    for group, group_options in options.GROUPS.items():
        yield ""
        yield f"[{group}]"
        for option in group_options:
            yield ""
            yield f"# {option.help}"
            yield f"# Type: {_type(option).replace('`', '')}."
            if option.required:
                yield f"{option.dest} = {_EXAMPLES[option.dest]}"
            else:
                yield f"# {option.dest} = {_value(option)}".rstrip()


def sample() -> str:
    """Return a commented INI file that a router would start with."""
    return "\n".join(_sample_lines()) + "\n"


def openapi_page() -> str:
    """Return the OpenAPI description of the admin API as JSON."""
    return json.dumps(openapi.document(), indent=1, sort_keys=True) + "\n"


PAGES = {
    SETTINGS_PAGE: settings_page,
    FORWARDING_PAGE: forwarding_page,
    EVENTS_PAGE: events_page,
    SAMPLE: sample,
    OPENAPI: openapi_page,
}


def main() -> None:
    """Write all pages."""
    for name, make in PAGES.items():
        pathlib.Path(name).write_text(make(), encoding="utf-8")


if __name__ == "__main__":
    main()
