"""Options of the engine stand-in."""

import attrs


@attrs.define
class Options:
    """How the engine behaves.

    Parameters
    ----------
    name : str
        Name in load reports.
    models : str
        ``model=weights_version`` or ``model=weights_version/adapter``,
        comma separated.
    slots, queue : int
        Requests run at once, and requests that may wait.
    capacity_blocks : int
        Size of the prefix cache in blocks of 2,000 tokens.
    prefill_tokens_per_s, decode_s_per_token : float
        Costs; 0 for none.
    event_lag_s, load_lag_s : float
        Age of cache events and of load reports.
    resume_window_s : float
        Time for which generation goes on without a reader.
    keep_s : float
        Time for which a finished stream can be resumed.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    platform : str
        ``IP:port`` of the weight store; empty for none.
    load_s : float
        Time that loading weights takes beside the fetch.
    import_tokens_per_s : float
        Speed of imports of KV cache; 0 for no cost.
    software_version : str
        Version of its software in load reports.
    """

    name: str = "engine"
    models: str = "demo=w1"
    slots: int = 8
    queue: int = 64
    capacity_blocks: int = 64
    prefill_tokens_per_s: float = 20000.0
    decode_s_per_token: float = 0.005
    event_lag_s: float = 0.05
    load_lag_s: float = 0.1
    resume_window_s: float = 5.0
    keep_s: float = 30.0
    checks_fencing: bool = True
    platform: str = ""
    load_s: float = 0.1
    import_tokens_per_s: float = 0.0
    software_version: str = "1"

    def weights(self) -> dict[str, tuple[str, str]]:
        """Return weights version and adapter of each model."""
        models = {}
        for item in self.models.split(","):
            name, _, rest = item.partition("=")
            version, _, adapter = rest.partition("/")
            models[name] = (version or "w1", adapter)
        return models
