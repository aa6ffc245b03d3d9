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
def files(authority, tmp_path):
    issued = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "certificate.pem", tmp_path / "key.pem"
    issued.cert_chain_pems[0].write_to_path(str(certificate))
    issued.private_key_pem.write_to_path(str(key))
    return str(certificate), str(key)


def test_no_files_mean_no_tls():
    assert tls.server_context("", "") is None


@pytest.mark.parametrize("wrong", [(0, None), (None, 1), (0, 0), (1, 1)])
def test_files_that_do_not_fit_are_refused_by_name(files, wrong):
    """A wrong certificate must stop the start, not leave plain HTTP.

    One of the two files is missing from the settings, or both options
    name the same one.  Serving without TLS would send the operators'
    token readable over the network.
    """
    certificate, key = (
        "" if index is None else files[index] for index in wrong
    )
    with pytest.raises(errors.RudderError) as caught:
        tls.server_context(certificate, key)
    assert caught.value.code is errors.Code.SETTINGS_INVALID
    assert "tls_certificate" in str(caught.value)


async def test_the_admin_api_over_tls(authority, files):
    async def apply(*_: object) -> None:
        raise AssertionError("not called")

    known = state.State("r1", "token", lambda: None, apply)
    runner = web.AppRunner(application.build(known))
    await runner.setup()
    site = web.TCPSite(
        runner, "127.0.0.1", 0, ssl_context=tls.server_context(*files)
    )
    await site.start()
    trusted = ssl.create_default_context()
    authority.configure_trust(trusted)
    address = "https://{}:{}/healthz".format(*runner.addresses[0])
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(address, ssl=trusted) as answer,
        ):
            assert answer.status == 200
    finally:
        await runner.cleanup()
