"""TLS certificates of routers, reloaded when their files change."""

import logging
import pathlib

import attrs
import grpc

from toucanrudder import errors

#: DNS name in every router's certificate.  Addresses would not do, as
#: instances are replaced at any time and return with other addresses.  The
#: name also excludes the authority's certificates for other services.
PEER_NAME = "router.toucanrudder"

LOG = logging.getLogger(__name__)


@attrs.frozen
class PemFiles:
    """Contents of the three PEM files."""

    certificate: bytes
    key: bytes = attrs.field(repr=False)
    authority: bytes


class Credentials:
    """Credentials for mutual TLS, reloaded while the router runs.

    Parameters
    ----------
    certificate, key, authority : str
        Paths of PEM files.
    """

    def __init__(self, certificate: str, key: str, authority: str):
        self._paths = (certificate, key, authority)
        self._file_stamps: tuple = ()
        self._files = self._read()

    def _read(self) -> PemFiles:
        self._file_stamps = self._current_stamps()
        return PemFiles(*(pathlib.Path(p).read_bytes() for p in self._paths))

    def _current_stamps(self) -> tuple:
        stats = [pathlib.Path(path).stat() for path in self._paths]
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)

    def files(self) -> PemFiles:
        """Return the files' contents, reloaded if they have changed."""
        try:
            if self._current_stamps() != self._file_stamps:
                self._files = self._read()
                LOG.info("TLS certificates for peers were reloaded")
        except OSError:
            # Renewal replaces the three files one by one.  The old contents
            # stay in use until all can be read.  A mixture of old and new
            # only fails handshakes until the next reload.
            LOG.exception("TLS certificates for peers cannot be read")
        return self._files

    def server(self) -> grpc.ServerCredentials:
        """Return credentials that require a certificate of each client."""

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
    """Return the credentials of the settings, or None if none are set.

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
            "[peers]: tls_certificate, tls_key and tls_authority must be set "
            "together"
        )
    try:
        return Credentials(*paths)
    except OSError as error:
        raise _invalid(f"[peers]: {error}") from error


def _invalid(message: str) -> errors.RudderError:
    return errors.RudderError(
        errors.Code.SETTINGS_INVALID, message, step="settings"
    )
