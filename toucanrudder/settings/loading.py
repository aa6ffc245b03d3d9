"""Reads and checks a settings file."""

from collections.abc import Mapping
import configparser
import pathlib

from oslo_config import cfg

from toucanrudder import errors
from toucanrudder.settings import options

STEP = "settings"


def _invalid(message: str, path: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.SETTINGS_INVALID, f"{path}: {message}", step=STEP
    )


def _parse(path: str) -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(strict=True, default_section="")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeError, configparser.Error) as error:
        raise _invalid(str(error).replace("\n", " "), path) from error
    return parser


Groups = Mapping[str, tuple[cfg.Opt, ...]]


def _check_names(
    parser: configparser.RawConfigParser, path: str, groups: Groups
) -> None:
    # oslo.config skips what it does not know.  A misspelt option would
    # leave its default in force unseen, so unknown names are errors here.
    for section in parser.sections():
        known = groups.get(section)
        if known is None:
            raise _invalid(f"unknown section [{section}]", path)
        names = {option.dest for option in known}
        for name in parser.options(section):
            if name not in names:
                raise _invalid(f"unknown option {name} in [{section}]", path)


def load(path: str, groups: Groups = options.GROUPS) -> cfg.ConfigOpts:
    """Read the settings file and check every option.

    Parameters
    ----------
    path : str
        Path of the INI file.
    groups : mapping of str to tuple of cfg.Opt
        Options by section.

    Returns
    -------
    oslo_config.cfg.ConfigOpts
        Values as attributes: ``conf.router.port``.

    Raises
    ------
    RudderError
        ``settings_invalid`` naming the file and the option: unknown
        section or option, wrong type, out of bounds, or missing.
    """
    _check_names(_parse(path), path, groups)
    conf = cfg.ConfigOpts()
    for group, group_options in groups.items():
        conf.register_opts(group_options, group=group)
    try:
        conf(["--config-file", path], project="toucanrudder")
        for group, group_options in groups.items():
            for option in group_options:
                getattr(conf[group], option.dest)
    except (cfg.Error, ValueError) as error:
        raise _invalid(str(error), path) from error
    return conf
