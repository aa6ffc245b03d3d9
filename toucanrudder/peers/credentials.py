"""Certificates between routers; read anew when the files change."""

import logging
import pathlib

import attrs
import grpc

from toucanrudder import errors

#: Every router's certificate carries this DNS name.  Instances are
#: replaced at any time and come back under other addresses, so addresses
#: would not do; and the authority's other certificates are no routers'.
PEER_NAME = "router.toucanrudder"

LOG = logging.getLogger(__name__)


@attrs.frozen
class Files:
    """Contents of the three PEM files."""

    certificate: bytes
    key: bytes = attrs.field(repr=False)
    authority: bytes


class Credentials:
    """Mutual TLS from files that are renewed while the router runs.

    Parameters
    ----------
    certificate, key, authority : str
        Paths of PEM files.
    """

    def __init__(self, certificate: str, key: str, authority: str):
        self._paths = (certificate, key, authority)
        self._stamp: tuple = ()
        self._files = self._read()

    def _read(self) -> Files:
        self._stamp = self._stamps()
        return Files(*(pathlib.Path(p).read_bytes() for p in self._paths))

    def _stamps(self) -> tuple:
        stats = [pathlib.Path(path).stat() for path in self._paths]
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)

    def files(self) -> Files:
        """Return the files' contents, read anew if they have changed."""
        try:
            if self._stamps() != self._stamp:
                self._files = self._read()
                LOG.info("peers' certificates were read anew")
        except OSError:
            # Renewal replaces three files one by one.  The old ones stay
            # in use until all can be read; a mixture fails the next
            # handshakes only and is corrected by the next reading.
            LOG.exception("peers' certificates cannot be read")
        return self._files

    def server(self) -> grpc.ServerCredentials:
        """Return credentials that demand a certificate of each client."""

        def configuration() -> grpc.ServerCertificateConfiguration:
            files = self.files()
            return grpc.ssl_server_certificate_configuration(
                [(files.key, files.certificate)], files.authority
            )

        return grpc.dynamic_ssl_server_credentials(
            configuration(),
            configuration,
            require_client_authentication=True,
        )

    def client(self) -> grpc.ChannelCredentials:
        """Return credentials for new channels."""
        files = self.files()
        return grpc.ssl_channel_credentials(
            files.authority, files.key, files.certificate
        )


def from_settings(peers) -> Credentials | None:
    """Return the credentials that settings name, or None for none.

    Parameters
    ----------
    peers : oslo_config.cfg.GroupAttr
        The section ``[peers]``.

    Raises
    ------
    RudderError
        ``settings_invalid``: one of the three is missing or unreadable.
    """
    paths = (peers.tls_certificate, peers.tls_key, peers.tls_authority)
    if not any(paths):
        return None
    if not all(paths):
        raise _invalid(
            "tls_certificate, tls_key and tls_authority of [peers] go together"
        )
    try:
        return Credentials(*paths)
    except OSError as error:
        raise _invalid(f"[peers]: {error}") from error


def _invalid(message: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.SETTINGS_INVALID, message, step="settings"
    )
