import ssl

import aiohttp
from aiohttp import web
import pytest
import trustme

from toucanrudder import errors
from toucanrudder.admin import application
from toucanrudder.admin import state
from toucanrudder.admin import tls


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def pem_files(authority, tmp_path):
    issued_certificate = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "certificate.pem", tmp_path / "key.pem"
    issued_certificate.cert_chain_pems[0].write_to_path(str(certificate))
    issued_certificate.private_key_pem.write_to_path(str(key))
    return str(certificate), str(key)


def test_no_tls_context_without_files():
    assert tls.server_context("", "") is None


@pytest.mark.parametrize("indices", [(0, None), (None, 1), (0, 0), (1, 1)])
def test_mismatched_files_are_rejected_by_option_name(pem_files, indices):
    """Test that invalid TLS settings stop the start, not disable TLS.

    One of the two options is missing, or both name the same file.  Without
    TLS, the operators' token would cross the network in plain text.
    """
    certificate, key = (
        "" if index is None else pem_files[index] for index in indices
    )
    with pytest.raises(errors.RudderError) as caught:
        tls.server_context(certificate, key)
    assert caught.value.code is errors.Code.SETTINGS_INVALID
    assert "tls_certificate" in str(caught.value)


async def test_admin_api_is_served_over_tls(authority, pem_files):
    async def apply(*_: object) -> None:
        raise AssertionError("not called")

    providers = state.State("r1", "token", lambda: None, apply)
    runner = web.AppRunner(application.build(providers))
    await runner.setup()
    site = web.TCPSite(
        runner, "127.0.0.1", 0, ssl_context=tls.server_context(*pem_files)
    )
    await site.start()
    client_context = ssl.create_default_context()
    authority.configure_trust(client_context)
    address = "https://{}:{}/healthz".format(*runner.addresses[0])
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(address, ssl=client_context) as response,
        ):
            assert response.status == 200
    finally:
        await runner.cleanup()
