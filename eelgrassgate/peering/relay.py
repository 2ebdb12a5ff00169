"""HTTP server for calls from peers.

Store calls are relayed for processes that can't reach the store directly; calls
about the configuration and shared mirrors, and about jobs if this process owns
any, are handled here.
"""

from typing import Final

import anyio

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate.http1 import downstream
from eelgrassgate.http1 import upstream

# Short, so that a peer learns soon that this process can't reach the store
# either.
CONNECT_TIMEOUT_S: Final = 0.4
# Timeout of a relayed call; a watch waits for 25 s.
CALL_TIMEOUT_S: Final = 29.0
BAD_GATEWAY: Final = 502
NOT_FOUND: Final = 404
SERVICE_UNAVAILABLE: Final = 503
# Connections of peers: each peer has one that waits for changes and a few for
# calls. Idle ones are closed for those that wait.
MAX_CONNECTIONS: Final = 256
# Holder of relayed calls in the memory budget.
HOLDER: Final = "peers"
# Copies of a body that are held while it is relayed, besides the one that the
# server of this process has read.
COPIES: Final = 2
# How long a call waits for memory; peers wait 2 s for an answer and may ask
# others meanwhile.
MEMORY_WAIT_S: Final = 1.0
JOBS_PATH: Final = b"/jobs/"
CONFIG_PATH: Final = b"/config"
MIRRORS_PATH: Final = b"/mirrors"
# The call was not made.
_NO_MEMORY: Final = downstream.Refusal(SERVICE_UNAVAILABLE, reason="memory")
_CONNECTION_HEADERS: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"content-length"}
)


class _PeerAccount:
    """The memory of the body of a peer's call."""

    def __init__(self, account: memory_budget.Account) -> None:
        """Initialize; see `_PeerAdmission.open`."""
        self._account = account

    async def reserve(self, size: int) -> downstream.Refusal | None:
        """Reserve memory for `size` more bytes of the body."""
        wait_until = deadlines.after(MEMORY_WAIT_S)
        if not size or await self._account.grow(size, wait_until):
            return None
        return _NO_MEMORY

    def release_body(self) -> None:
        """Give back the memory of the body."""
        self._account.shrink(self._account.held_bytes)

    def close(self) -> None:
        """Give back all memory of the call."""
        self._account.close()


class _PeerAdmission:
    """Admits calls while there is memory for their bodies."""

    def __init__(self, budget: memory_budget.Budget) -> None:
        """Initialize with the budget of the process."""
        self._budget = budget

    def open(self, head: downstream.RequestHead) -> downstream.RequestAccount:
        """Open the account of a call whose head was read."""
        return _PeerAccount(self._budget.open(memory_budget.Kind.PEER, HOLDER))


class Relay:
    """Relays requests to one address and returns the responses.

    Attributes:
        job_handler: Handles calls about jobs; None if this process owns none.
        config_handler: Handles calls for the configuration.
        mirrors_handler: Handles polls of shared mirrors.
        listener: Accepts the connections of peers.
    """

    def __init__(self, address: str, budget: memory_budget.Budget) -> None:
        """Initialize; see `create_relay`."""
        self._budget = budget
        self._address = address
        self.job_handler: downstream.Handler | None = None
        self.config_handler: downstream.Handler | None = None
        self.mirrors_handler: downstream.Handler | None = None
        self._pool = upstream.create_pool(CONNECT_TIMEOUT_S)
        self.listener = downstream.Listener(
            downstream.Limits,
            self._handle,
            lambda: False,
            _PeerAdmission(budget),
            MAX_CONNECTIONS,
        )

    async def run(self, address: str, give_up_at: float = 0.0) -> None:
        """Serve on `host:port` until cancelled.

        Args:
            address: The address.
            give_up_at: Monotonic time until which a taken address is tried.

        Raises:
            binding.AddressUnavailableError: The address is taken.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.listener.run)
            tasks.start_soon(self.listener.serve, address, give_up_at)

    async def _handle(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
    ) -> None:
        if incoming.target.startswith((JOBS_PATH, CONFIG_PATH, MIRRORS_PATH)):
            handler = self.job_handler
            if incoming.target == CONFIG_PATH:
                handler = self.config_handler
            elif incoming.target == MIRRORS_PATH:
                handler = self.mirrors_handler
            if handler is None:
                await responder.reply(NOT_FOUND)
            else:
                await handler(incoming, responder)
            return
        with self._budget.open(memory_budget.Kind.PEER, HOLDER) as account:
            await self._relay(incoming, responder, account)

    async def _relay(
        self,
        incoming: downstream.IncomingRequest,
        responder: downstream.Responder,
        account: memory_budget.Account,
    ) -> None:
        """Relay a call; its copies are charged until it is answered."""
        headers = [
            one for one in incoming.headers if one[0] not in _CONNECTION_HEADERS
        ]
        if incoming.method != b"GET":
            headers.append((b"content-length", b"%d" % len(incoming.body)))
        wait_until = deadlines.after(MEMORY_WAIT_S)
        if not await account.grow(COPIES * len(incoming.body), wait_until):
            # The call was not sent.
            await responder.reply(SERVICE_UNAVAILABLE)
            return
        request = upstream.Request(
            incoming.method, incoming.target, tuple(headers), incoming.body
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                async with self._pool.use(self._address) as connection:
                    await connection.start(request, lambda head: True)
                    size = COPIES * connection.head.get_length()
                    if not await account.grow(size, wait_until):
                        raise upstream.ExchangeError("memory is short", True)
                    body = await connection.read_body()
                    status = connection.head.status
        except (upstream.ExchangeError, TimeoutError) as error:
            logs.log_message("relay:failed", reason=str(error))
            # Unlike 503, this leaves open whether the call took effect.
            await responder.reply(BAD_GATEWAY)
            return
        await responder.reply(status, (), body)


def create_relay(address: str, budget: memory_budget.Budget) -> Relay:
    """Create a relay.

    Args:
        address: `host:port` to relay to.
        budget: The memory budget of the process.
    """
    return Relay(address, budget)
