"""A simulated plain service: a ledger of members' hours.

`POST /hours` is not idempotent: each call books the hours again.
To run it as a process: `python -m eelgrassgate.standins.service --port 9100`.
"""

from collections import Counter
import contextlib
import functools
import sys

from absl import flags
import anyio
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate.standins import hosting
from eelgrassgate.standins import recording


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the simulated service.

    Attributes:
        delay_s: Duration of each call.
        checks_fence: Whether old fencing tokens are rejected.
    """

    delay_s: float = 0.005
    checks_fence: bool = False


class Booking(msgspec.Struct, frozen=True):
    """The body of `POST /hours`."""

    member: str
    hours: float


class Ledger:
    """Request handlers over the booked hours."""

    def __init__(self, options: Options) -> None:
        """Create an empty ledger."""
        self.options = options
        self.recorder = recording.Recorder()
        self.hours_by_member: Counter[str] = Counter()
        self.newest_fence = 0

    async def book(self, request: requests.Request) -> responses.Response:
        """Book hours for a member."""
        body = await self.recorder.receive(request)
        fence = int(request.headers.get("x-fence", "0"))
        if self.options.checks_fence and 0 < fence < self.newest_fence:
            error = {"code": "stale_fence", "message": "stale fence"}
            return responses.JSONResponse({"error": error}, status_code=409)
        self.newest_fence = max(fence, self.newest_fence)
        try:
            booking = msgspec.json.decode(body, type=Booking)
        except msgspec.DecodeError as error:
            return responses.PlainTextResponse(str(error), status_code=400)
        attempt = request.headers.get("x-request-id", "")
        self.recorder.count_execution(attempt, body.decode())
        self.hours_by_member[booking.member] += booking.hours  # type: ignore[assignment]
        await anyio.sleep(self.options.delay_s)
        return self._show(booking.member)

    async def read(self, request: requests.Request) -> responses.Response:
        """Return a member's hours."""
        await self.recorder.receive(request)
        return self._show(request.path_params["member"])

    async def show_counts(
        self, request: requests.Request
    ) -> responses.Response:
        """Return how often each attempt and each body has run."""
        return responses.JSONResponse(
            {
                "by_attempt": self.recorder.executions_by_attempt,
                "by_body": self.recorder.executions_by_body,
            }
        )

    def _show(self, member: str) -> responses.Response:
        hours = self.hours_by_member[member]
        return responses.JSONResponse({"member": member, "hours": hours})


def create_app(options: Options) -> applications.Starlette:
    """Create the application; its state holds `ledger`, a `Ledger`."""
    ledger = Ledger(options)
    app = applications.Starlette(
        routes=[
            routing.Route("/hours", ledger.book, methods=["POST"]),
            routing.Route("/hours/{member}", ledger.read, methods=["GET"]),
            routing.Route("/counts", ledger.show_counts, methods=["GET"]),
        ]
    )
    app.state.ledger = ledger
    return app


def main(argv: list[str]) -> int:
    """Run the service as a process; return the exit code."""
    port = flags.DEFINE_integer("port", 9100, "Port on loopback.")
    flags.FLAGS(argv)
    serve = functools.partial(hosting.serve, port=port.value or 0)
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(serve, create_app(Options()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
