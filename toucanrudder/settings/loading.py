"""Loading and validation of a settings file."""

from collections.abc import Mapping
import configparser
import pathlib

from oslo_config import cfg

from toucanrudder import errors
from toucanrudder.settings import options

STEP = "settings"


def _settings_error(message: str, path: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.SETTINGS_INVALID, f"{path}: {message}", step=STEP
    )


def _parse(path: str) -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(strict=True, default_section="")
    try:
        parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeError, configparser.Error) as error:
        raise _settings_error(str(error).replace("\n", " "), path) from error
    return parser


Groups = Mapping[str, tuple[cfg.Opt, ...]]


def _check_names(
    parser: configparser.RawConfigParser, path: str, groups: Groups
) -> None:
    # oslo.config ignores unknown names, so a misspelt option would silently
    # keep its default.  Unknown names are therefore errors here.
    for section in parser.sections():
        section_options = groups.get(section)
        if section_options is None:
            raise _settings_error(f"unknown section [{section}]", path)
        names = {option.dest for option in section_options}
        for name in parser.options(section):
            if name not in names:
                raise _settings_error(
                    f"unknown option {name} in [{section}]", path
                )


def load(path: str, groups: Groups = options.GROUPS) -> cfg.ConfigOpts:
    """Load the settings file and validate every option.

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
        ``settings_invalid``, naming the file and the option, for an unknown
        section or option, and a value that is missing, of the wrong type or
        out of bounds.
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
        raise _settings_error(str(error), path) from error
    return conf
