"""The parts of this folder, put together for a forwarding router."""

from oslo_config import cfg

from toucanrudder.forwarding import daemon
from toucanrudder.forwarding import store_watch
from toucanrudder.platform import dialect
from toucanrudder.platform import objects
from toucanrudder.platform import orders
from toucanrudder.platform import store


def platform(conf: cfg.ConfigOpts) -> daemon.Platform:
    """Return what a router needs to run on this platform."""
    return daemon.Platform(
        dialect=dialect.PlatformDialect(),
        store=store.PlatformStore(conf.store.address),
        kinds=store_watch.WatchedKinds(
            configuration=objects.CONFIGURATION_KIND,
            upstreams=objects.UPSTREAM_KIND,
            weights=objects.WEIGHTS_KIND,
            read_document=objects.document,
            read_upstream=objects.upstream,
            read_weights=objects.named_weights,
        ),
        encode=objects.encode,
        decode=objects.decode,
        engine_calls=orders.EngineCalls,
    )
