"""A simulated model engine with an OpenAI-compatible HTTP API.

To run it as a process: `python -m eelgrassgate.standins.engine --port 9000`.
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

CREATED_AT: Final = 1_700_000_000
DONE: Final = b"data: [DONE]\n\n"
BAD_REQUEST_STATUS: Final = 400
CONFLICT_STATUS: Final = 409
NOT_FOUND_STATUS: Final = 404


class _ResponseFormat(msgspec.Struct, frozen=True):
    """Response format of a path."""

    kind: str
    is_chat: bool


_FORMATS_BY_PATH: Final = {
    "/v1/chat/completions": _ResponseFormat("chat.completion", True),
    "/v1/completions": _ResponseFormat("text_completion", False),
}


class _EngineCall(msgspec.Struct, frozen=True):
    """A call in progress."""

    request: generation.GenerationRequest
    response_format: _ResponseFormat
    model: str
    has_usage_chunk: bool
    tokens: memory.MemoryObjectReceiveStream[str]

    def build_usage(self) -> dict[str, int]:
        """Return the `usage` object of the response."""
        prompt = generation.count_tokens(self.request.prompt)
        completion_tokens = self.request.max_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt + completion_tokens,
        }

    def build_envelope(self, kind: str) -> dict[str, Any]:
        """Return the fields that all chunks of the response share."""
        return {
            "id": f"cmpl-{self.request.attempt}",
            "object": kind,
            "created": CREATED_AT,
            "model": self.model,
        }


class EngineServer:
    """Request handlers over one simulated engine."""

    def __init__(self, options: generation.Options) -> None:
        """Create an idle engine."""
        self.options = options
        self.core = generation.SimulatedEngine(options)
        self.recorder = recording.Recorder()
        self.newest_fence = 0
        self._attempts = 0

    async def complete(self, request: requests.Request) -> responses.Response:
        """Handle a completion or chat completion request."""
        body = (await self.recorder.receive(request)).decode()
        if self._is_stale(request):
            return _fail(CONFLICT_STATUS, "stale_fence")
        try:
            parameters = msgspec.json.decode(body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            return _fail(BAD_REQUEST_STATUS, "bad_request", str(error))
        if parameters.get("model") not in self.options.models:
            return _fail(NOT_FOUND_STATUS, "model_not_found")
        generation_request = self._parse_request(request, parameters)
        if generation_request.resume_from and not self.core.is_resumable(
            generation_request.attempt
        ):
            return _fail(CONFLICT_STATUS, "resume_unknown")
        if not generation_request.resume_from:
            self.recorder.count_execution(generation_request.attempt, body)
        call = _EngineCall(
            generation_request,
            _FORMATS_BY_PATH[request.url.path],
            parameters["model"],
            bool((parameters.get("stream_options") or {}).get("include_usage")),
            self.core.start(generation_request),
        )
        if parameters.get("stream"):
            return responses.StreamingResponse(
                self._stream(call), media_type="text/event-stream"
            )
        return await self._respond(request, call)

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Cancel the request with the given id."""
        body = await self.recorder.receive(request)
        attempt = msgspec.json.decode(body, type=dict[str, str])["id"]
        return responses.JSONResponse({"cancelled": self.core.cancel(attempt)})

    async def read_load(self, request: requests.Request) -> responses.Response:
        """Return the load, which lags behind."""
        load = self.core.read_load()
        return responses.JSONResponse(
            {
                "running": load.running,
                "waiting": load.waiting,
                "cache_used": load.cache_used,
            }
        )

    async def read_cache_events(
        self, request: requests.Request
    ) -> responses.Response:
        """Return cache events, which lag behind and are incomplete."""
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
        """Return how often each attempt and each body has run."""
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

    def _parse_request(
        self, request: requests.Request, parameters: dict[str, Any]
    ) -> generation.GenerationRequest:
        self._attempts += 1
        limit = parameters.get("max_completion_tokens") or parameters.get(
            "max_tokens"
        )
        return generation.GenerationRequest(
            request.headers.get("x-request-id", f"own-{self._attempts}"),
            prefix.read_prompt(parameters),
            int(limit or self.options.default_tokens),
            int(request.headers.get("x-resume-from", "0")),
        )

    async def _respond(
        self, request: requests.Request, call: _EngineCall
    ) -> responses.Response:
        words: list[str] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_disconnect, request, call)
            words.extend([word async for word in call.tokens])
            tasks.cancel_scope.cancel()
        text = "".join(words)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if call.response_format.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        envelope = call.build_envelope(call.response_format.kind)
        usage = call.build_usage()
        return responses.JSONResponse(
            {**envelope, "choices": [choice], "usage": usage}
        )

    async def _cancel_on_disconnect(
        self, request: requests.Request, call: _EngineCall
    ) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self.core.abandon(call.request)

    async def _stream(self, call: _EngineCall) -> AsyncIterator[bytes]:
        try:
            async for word in call.tokens:
                yield _encode_event(_build_chunk(call, word, None))
            last = _build_chunk(call, "", "length")
            yield _encode_event({**last, "usage": call.build_usage()})
            if call.has_usage_chunk:
                usage = {"choices": [], "usage": call.build_usage()}
                yield _encode_event({**last, **usage})
            yield DONE
        finally:
            self.core.abandon(call.request)


def create_app(options: generation.Options) -> applications.Starlette:
    """Create the application; its state holds `engine`, an `App`."""
    app = EngineServer(options)

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


def _list_routes(app: EngineServer) -> tuple[routing.Route, ...]:
    return (
        routing.Route("/v1/chat/completions", app.complete, methods=["POST"]),
        routing.Route("/v1/completions", app.complete, methods=["POST"]),
        routing.Route("/v1/models", app.list_models),
        routing.Route("/cancel", app.cancel, methods=["POST"]),
        routing.Route("/load", app.read_load),
        routing.Route("/cache_events", app.read_cache_events),
        routing.Route("/counts", app.show_counts),
    )


def _build_chunk(
    call: _EngineCall, word: str, reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if call.response_format.is_chat:
        choice["delta"] = {"content": word} if word else {}
        kind = f"{call.response_format.kind}.chunk"
    else:
        choice["text"] = word
        kind = call.response_format.kind
    return {**call.build_envelope(kind), "choices": [choice]}


def _encode_event(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _fail(status: int, code: str, message: str = "") -> responses.Response:
    error = {"message": message or code, "type": "invalid", "code": code}
    return responses.JSONResponse({"error": error}, status_code=status)


def main(argv: list[str]) -> int:
    """Run the engine as a process; return the exit code."""
    port = flags.DEFINE_integer("port", 9000, "Port on loopback.")
    models = flags.DEFINE_list("models", ["demo"], "Served models.")
    running = flags.DEFINE_integer(
        "max_running", 8, "Maximum number of running requests."
    )
    speed = flags.DEFINE_float("speed", 1.0, "Speed factor.")
    checks = flags.DEFINE_boolean(
        "checks_fence", False, "Reject old fencing tokens."
    )
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
