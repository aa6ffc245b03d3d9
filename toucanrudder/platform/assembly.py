"""Assembly of this package's adapters for a forwarding router."""

from oslo_config import cfg

from toucanrudder.forwarding import daemon
from toucanrudder.forwarding import store_watch
from toucanrudder.platform import dialect
from toucanrudder.platform import objects
from toucanrudder.platform import orders
from toucanrudder.platform import store


def build_platform(conf: cfg.ConfigOpts) -> daemon.Platform:
    """Return the adapters that a router needs on this platform."""
    return daemon.Platform(
        dialect=dialect.PlatformDialect(),
        store=store.PlatformStore(conf.store.address),
        kinds=store_watch.WatchedKinds(
            configuration=objects.CONFIGURATION_KIND,
            upstreams=objects.UPSTREAM_KIND,
            weights=objects.WEIGHTS_KIND,
            read_document=objects.read_document,
            read_upstream=objects.read_upstream,
            read_weights=objects.read_target_weights,
        ),
        encode=objects.encode_document,
        decode=objects.decode_document,
        engine_calls=orders.EngineCalls,
    )
