"""A stand-in for a model engine, with the usual HTTP interface.

Run alone: `python -m eelgrassgate.standins.engine --port 9000`.
"""

from collections.abc import AsyncIterator
import contextlib
import functools
import sys
from typing import Any
from typing import Final

from absl import flags
import anyio
from anyio.streams import memory
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from eelgrassgate.engine import prefix
from eelgrassgate.standins import generation
from eelgrassgate.standins import hosting
from eelgrassgate.standins import recording

CREATED: Final = 1_700_000_000
DONE: Final = b"data: [DONE]\n\n"
STATUS_BAD: Final = 400
STATUS_CONFLICT: Final = 409
STATUS_NOT_FOUND: Final = 404


class _Shape(msgspec.Struct, frozen=True):
    """How answers on one path are written."""

    kind: str
    is_chat: bool


_SHAPES_BY_PATH: Final = {
    "/v1/chat/completions": _Shape("chat.completion", True),
    "/v1/completions": _Shape("text_completion", False),
}


class _Job(msgspec.Struct, frozen=True):
    """A generation in hand, with what its answer needs."""

    order: generation.Order
    shape: _Shape
    model: str
    has_usage_chunk: bool
    tokens: memory.MemoryObjectReceiveStream[str]

    def write_usage(self) -> dict[str, int]:
        """Return the usage of the whole answer."""
        prompt = generation.count_tokens(self.order.prompt)
        answer = self.order.max_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": answer,
            "total_tokens": prompt + answer,
        }

    def write_envelope(self, kind: str) -> dict[str, Any]:
        """Return what all answers and chunks of this job share."""
        return {
            "id": f"cmpl-{self.order.attempt}",
            "object": kind,
            "created": CREATED,
            "model": self.model,
        }


class App:
    """The handlers, over one pretended engine."""

    def __init__(self, options: generation.Options) -> None:
        """Start idle."""
        self.options = options
        self.core = generation.SimulatedEngine(options)
        self.recorder = recording.Recorder()
        self.newest_fence = 0
        self._attempts = 0

    async def complete(self, request: requests.Request) -> responses.Response:
        """Answer a completion or a chat request."""
        body = (await self.recorder.receive(request)).decode()
        if self._is_stale(request):
            return _fail(STATUS_CONFLICT, "stale_fence")
        try:
            wanted = msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            return _fail(STATUS_BAD, "bad_request", str(error))
        if wanted.get("model") not in self.options.models:
            return _fail(STATUS_NOT_FOUND, "model_not_found")
        order = self._read_order(request, wanted)
        if order.resume_from and not self.core.is_resumable(order.attempt):
            return _fail(STATUS_CONFLICT, "resume_unknown")
        if not order.resume_from:
            self.recorder.count_execution(order.attempt, body)
        job = _Job(
            order,
            _SHAPES_BY_PATH[request.url.path],
            wanted["model"],
            bool((wanted.get("stream_options") or {}).get("include_usage")),
            self.core.start(order),
        )
        if wanted.get("stream"):
            return responses.StreamingResponse(
                self._stream(job), media_type="text/event-stream"
            )
        return await self._answer(request, job)

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancel a request by its id."""
        body = await self.recorder.receive(request)
        attempt = msgspec.json.decode(body, type=dict[str, str])["id"]
        return responses.JSONResponse({"cancelled": self.core.cancel(attempt)})

    async def read_load(self, request: requests.Request) -> responses.Response:
        """Report the load, late."""
        load = self.core.read_load()
        return responses.JSONResponse(
            {
                "running": load.running,
                "waiting": load.waiting,
                "cache_used": load.cache_used,
            }
        )

    async def read_events(
        self, request: requests.Request
    ) -> responses.Response:
        """Report cache events, late and with gaps."""
        since = int(request.query_params.get("since", "0"))
        events = tuple(self.core.cache.list_events(since))
        return responses.JSONResponse(
            {
                "first": events[0].sequence if events else since,
                "next": events[-1].sequence + 1 if events else since,
                "stored": [e.digest for e in events if e.is_stored],
                "evicted": [e.digest for e in events if not e.is_stored],
            }
        )

    async def list_models(
        self, request: requests.Request
    ) -> responses.Response:
        """List the models."""
        data = [{"id": each, "object": "model"} for each in self.options.models]
        return responses.JSONResponse({"object": "list", "data": data})

    async def show_counts(
        self, request: requests.Request
    ) -> responses.Response:
        """Show how often each attempt and each body has run."""
        return responses.JSONResponse(
            {
                "by_attempt": self.recorder.executions_by_attempt,
                "by_body": self.recorder.executions_by_body,
                "tokens": self.core.tokens,
            }
        )

    def _is_stale(self, request: requests.Request) -> bool:
        fence = int(request.headers.get("x-fence", "0"))
        if not self.options.checks_fence or not fence:
            return False
        if fence < self.newest_fence:
            return True
        self.newest_fence = fence
        return False

    def _read_order(
        self, request: requests.Request, wanted: dict[str, Any]
    ) -> generation.Order:
        self._attempts += 1
        limit = wanted.get("max_completion_tokens") or wanted.get("max_tokens")
        return generation.Order(
            request.headers.get("x-request-id", f"own-{self._attempts}"),
            prefix.read_prompt(wanted),
            int(limit or self.options.default_tokens),
            int(request.headers.get("x-resume-from", "0")),
        )

    async def _answer(
        self, request: requests.Request, job: _Job
    ) -> responses.Response:
        words: list[str] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_left, request, job)
            words.extend([word async for word in job.tokens])
            tasks.cancel_scope.cancel()
        text = "".join(words)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if job.shape.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        envelope = job.write_envelope(job.shape.kind)
        usage = job.write_usage()
        return responses.JSONResponse(
            {**envelope, "choices": [choice], "usage": usage}
        )

    async def _cancel_when_left(
        self, request: requests.Request, job: _Job
    ) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self.core.cancel(job.order.attempt)

    async def _stream(self, job: _Job) -> AsyncIterator[bytes]:
        try:
            async for word in job.tokens:
                yield _write_event(_write_chunk(job, word, None))
            last = _write_chunk(job, "", "length")
            yield _write_event({**last, "usage": job.write_usage()})
            if job.has_usage_chunk:
                usage = {"choices": [], "usage": job.write_usage()}
                yield _write_event({**last, **usage})
            yield DONE
        finally:
            self.core.cancel(job.order.attempt)


def create_app(options: generation.Options) -> applications.Starlette:
    """Create the application; its state holds `engine`, an `App`."""
    app = App(options)

    @contextlib.asynccontextmanager
    async def lifespan(_: applications.Starlette) -> AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(app.core.run)
            yield
            tasks.cancel_scope.cancel()

    starlette = applications.Starlette(
        routes=[*_list_routes(app)], lifespan=lifespan
    )
    starlette.state.engine = app
    return starlette


def _list_routes(app: App) -> tuple[routing.Route, ...]:
    return (
        routing.Route("/v1/chat/completions", app.complete, methods=["POST"]),
        routing.Route("/v1/completions", app.complete, methods=["POST"]),
        routing.Route("/v1/models", app.list_models),
        routing.Route("/cancel", app.cancel, methods=["POST"]),
        routing.Route("/load", app.read_load),
        routing.Route("/cache_events", app.read_events),
        routing.Route("/counts", app.show_counts),
    )


def _write_chunk(job: _Job, word: str, reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if job.shape.is_chat:
        choice["delta"] = {"content": word} if word else {}
        kind = f"{job.shape.kind}.chunk"
    else:
        choice["text"] = word
        kind = job.shape.kind
    return {**job.write_envelope(kind), "choices": [choice]}


def _write_event(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _fail(status: int, code: str, message: str = "") -> responses.Response:
    error = {"message": message or code, "type": "invalid", "code": code}
    return responses.JSONResponse({"error": error}, status_code=status)


def main(argv: list[str]) -> int:
    """Run the stand-in alone; return the exit code."""
    port = flags.DEFINE_integer("port", 9000, "Port on loopback.")
    models = flags.DEFINE_list("models", ["demo"], "Models that it serves.")
    running = flags.DEFINE_integer("max_running", 8, "Requests at once.")
    speed = flags.DEFINE_float("speed", 1.0, "Factor of its speed.")
    checks = flags.DEFINE_boolean("checks_fence", False, "Refuse old fences.")
    flags.FLAGS(argv)
    options = generation.Options(
        models=tuple(models.value or ()),
        max_running=running.value or 1,
        speed=speed.value or 1.0,
        checks_fence=bool(checks.value),
    )
    serve = functools.partial(hosting.serve, port=port.value or 0)
    with contextlib.suppress(KeyboardInterrupt):
        anyio.run(serve, create_app(options))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
