"""The command that checks a settings file before a start."""

import pathlib

from toucanrudder import errors
from toucanrudder import settings
from toucanrudder.admin import tls

_FILES = (
    ("admin", "tls_certificate"),
    ("admin", "tls_key"),
    ("peers", "tls_certificate"),
    ("peers", "tls_key"),
    ("peers", "tls_authority"),
)


def check_settings(path: str) -> dict:
    """Load the settings and the files that they name.

    Parameters
    ----------
    path : str
        Path of the INI file.

    Returns
    -------
    dict
        Name and ports of the router, and warnings.

    Raises
    ------
    RudderError
        ``settings_invalid``.
    """
    conf = settings.load(path)
    for group, option in _FILES:
        named = conf[group][option]
        if named and not pathlib.Path(named).is_file():
            raise errors.RudderError(
                errors.Code.SETTINGS_INVALID,
                f"{path}: [{group}] {option}: no file {named}",
                step="settings",
            )
    tls.server_context(conf.admin.tls_certificate, conf.admin.tls_key)
    return {
        "name": conf.router.name,
        "zone": conf.router.zone,
        "port": conf.router.port,
        "admin_port": conf.router.admin_port,
        "peer_port": conf.router.peer_port,
        "warnings": _warnings(conf),
    }


def _warnings(conf: object) -> list[str]:
    warnings = []
    if not conf.admin.token:
        warnings.append("[admin] token is empty: every change is refused")
    if not conf.router.peer_seeds:
        warnings.append(
            "[router] peer_seeds is empty: during a store outage this "
            "router cannot learn the configuration at its start"
        )
    if not conf.peers.tls_certificate:
        warnings.append("[peers] has no certificates: peers use plain TCP")
    return warnings
