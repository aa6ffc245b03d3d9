"""TLS context of the admin port."""

import ssl

from toucanrudder import errors


def server_context(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the TLS context of the admin port, or None without a certificate.

    Parameters
    ----------
    certificate, key : str
        Paths of PEM files; both or neither.

    Raises
    ------
    RudderError
        ``settings_invalid`` if a file is missing or cannot be used.
    """
    if not certificate and not key:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(certificate, key or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.RudderError(
            errors.Code.SETTINGS_INVALID,
            f"[admin] tls_certificate and tls_key cannot be used: {error}",
            step="settings",
        ) from error
    return context
