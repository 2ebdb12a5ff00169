"""An index of the active API keys by digest."""

import msgspec

from eelgrassgate.config import fleet as fleet_lib
from eelgrassgate.keys import digest as digest_lib


class ActiveKey(msgspec.Struct, frozen=True):
    """A key that is accepted.

    Attributes:
        name: The key's name in the configuration.
        workspace: The workspace that the key belongs to.
        digest: The key's digest.
    """

    name: str
    workspace: str
    digest: str


class KeyIndex:
    """The active keys, by digest."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        """Index the keys of `fleet`."""
        self._active_keys_by_digest: dict[str, ActiveKey] = {}
        self.rebuild(fleet)

    @property
    def digests(self) -> frozenset[str]:
        """The digests of the active keys."""
        return frozenset(self._active_keys_by_digest)

    def rebuild(self, fleet: fleet_lib.Fleet) -> None:
        """Replace the index by the keys of `fleet`."""
        self._active_keys_by_digest = {
            key.digest: ActiveKey(name, key.workspace, key.digest)
            for name, key in fleet.keys.items()
            if key.workspace in fleet.workspaces
        }

    def find(self, key: str) -> ActiveKey | None:
        """Return the active key that equals `key`, if any."""
        return self._active_keys_by_digest.get(digest_lib.compute_digest(key))

    def find_digest(self, digest: str) -> ActiveKey | None:
        """Return the active key with `digest`, if any."""
        return self._active_keys_by_digest.get(digest)

    def has_digest(self, digest: str) -> bool:
        """Return whether the key with `digest` is active."""
        return digest in self._active_keys_by_digest
