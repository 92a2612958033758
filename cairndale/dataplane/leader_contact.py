"""What the request policy asks, as it acts, of this node's contact with the leader."""

from __future__ import annotations

from collections.abc import Callable

from cairndale.dataplane.config_client import ConfigClient


class LeaderContact:
    """Translates between the configuration client's steady seconds and the engine's microseconds.

    While in contact this node spends units leased from the leader's counter only; isolated, it
    spends its share of each quota.
    """

    def __init__(
        self, config: ConfigClient, now: Callable[[], float], now_us: Callable[[], int]
    ) -> None:
        """`now`: s on the node's steady clock; `now_us`: us on the engine's."""
        self._config, self._now, self._now_us = config, now, now_us

    def in_contact(self) -> bool:
        """Whether the counter counts on this node spending leased units only."""
        return self._config.in_contact(self._now())

    def isolated_since_us(self) -> int:
        """Since when this node may spend its shares, or a little later; now, while it may not."""
        now = self._now()
        since = self._config.isolated_since(now)
        return self._now_us() - round(max(0.0, now - since) * 1e6)
