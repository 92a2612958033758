"""The request policy's view of this node's contact with the leader."""

from __future__ import annotations

from collections.abc import Callable

from cairndale.dataplane.config_client import ConfigClient


class LeaderContact:
    """Converts the configuration client's monotonic seconds to the engine's microseconds.

    While in contact, this node spends only units leased from the leader's counter; while isolated,
    it spends its share of each quota.
    """

    def __init__(
        self, config: ConfigClient, now: Callable[[], float], now_us: Callable[[], int]
    ) -> None:
        """`now`: s on the node's monotonic clock; `now_us`: us on the engine's clock."""
        self._config, self._now, self._now_us = config, now, now_us

    def in_contact(self) -> bool:
        """Whether the counter relies on this node spending leased units only."""
        return self._config.in_contact(self._now())

    def isolated_since_us(self) -> int:
        """Return the time, or one slightly later, from which this node may spend its shares.

        Returns the present time while it may not spend them.
        """
        now = self._now()
        since = self._config.isolated_since(now)
        return self._now_us() - round(max(0.0, now - since) * 1e6)
