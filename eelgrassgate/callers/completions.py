"""Chat completions and completions, plain and streamed."""

from typing import Final

import msgspec
from returns import result
from starlette import requests
from starlette import responses

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import answers
from eelgrassgate.callers import base
from eelgrassgate.callers import bodies
from eelgrassgate.callers import errors
from eelgrassgate.config import fleet
from eelgrassgate.engine import prefix
from eelgrassgate.entry import dispatch

BYTES_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 256
PATHS: Final = ("/v1/chat/completions", "/v1/completions")


class Prompt(msgspec.Struct, frozen=True):
    """What the system reads of a completion request; engines get it all.

    Attributes:
        model: The model, or `model:adapter`.
        messages: The conversation, for chat completions.
        prompt: The prompt, for completions.
        stream: Whether the answer streams.
        max_tokens: Most tokens of the answer.
        max_completion_tokens: The same by its newer name.
    """

    model: str
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_DECODER: Final = msgspec.json.Decoder(Prompt)


def parse(
    body: bytes, path: str, source: fleet.Fleet
) -> result.Result[Prompt, outcomes.Refusal]:
    """Read a completion request's body and check it against the fleet."""
    try:
        prompt = _DECODER.decode(body)
    except msgspec.DecodeError as error:
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, f"{error}.")
        )
    field = "messages" if path.startswith("/v1/chat") else "prompt"
    if not getattr(prompt, field):
        message = f"The field `{field}` is missing."
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, message)
        )
    if not has_model(source, prompt.model):
        message = f"The model `{prompt.model}` does not exist."
        return result.Failure(
            outcomes.refuse(outcomes.Code.UNKNOWN_MODEL, message)
        )
    return result.Success(prompt)


def has_model(source: fleet.Fleet, name: str) -> bool:
    """Tell whether `name` is a model, or one with an adapter, of the fleet."""
    base_name, _, adapter = name.partition(":")
    model = source.models.get(base_name)
    if model is None:
        return False
    return not adapter or adapter in model.adapters


def estimate_cost(prompt: Prompt, body: bytes) -> float:
    """Return the estimated work in tokens: prompt and longest answer."""
    asked = prompt.max_completion_tokens or prompt.max_tokens
    return len(body) / BYTES_PER_TOKEN + (asked or DEFAULT_MAX_TOKENS)


def compute_digests(prompt: Prompt) -> tuple[str, ...]:
    """Return digests of the prompt's head, for cache affinity."""
    fields = {}
    if prompt.messages:
        fields["messages"] = msgspec.json.decode(prompt.messages)
    else:
        fields["prompt"] = msgspec.json.decode(prompt.prompt)
    return tuple(prefix.compute_digests(prefix.read_prompt(fields)))


class Completions:
    """Handles requests for completions."""

    def __init__(
        self,
        source: base.FleetSource,
        access: access_control.AccessController,
        dispatcher: base.Dispatcher,
        meter: answers.Meter,
    ) -> None:
        """Create the handler."""
        self._source = source
        self._gate = access
        self._dispatcher = dispatcher
        self._meter = meter

    async def handle(self, request: requests.Request) -> responses.Response:
        """Answer one request for a completion."""
        deadline = access_control.get_deadline(request, self._source.fleet)
        admitted = await self._gate.admit(request, deadline)
        if isinstance(admitted, outcomes.Refusal):
            return errors.create_response(admitted)
        limit = self._source.fleet.limits.body_bytes
        body = await bodies.read(request, limit, deadline)
        path = request.url.path
        parsed = body.bind(lambda data: parse(data, path, self._source.fleet))
        if isinstance(parsed, result.Failure):
            return errors.create_response(parsed.failure())
        return await self._run(
            request, admitted, parsed.unwrap(), body.unwrap(), deadline
        )

    async def _run(
        self,
        request: requests.Request,
        held: base.Principal,
        prompt: Prompt,
        body: bytes,
        deadline: float,
    ) -> responses.Response:
        call = self._make_call(request, held, prompt, body, deadline)
        parts = self._meter.measure(
            held, call.klass, self._dispatcher.run(call)
        )
        guarded = self._gate.guard(held, parts)
        if prompt.stream:
            return await answers.stream_events(guarded)
        return await answers.collect(request, guarded)

    def _make_call(
        self,
        request: requests.Request,
        held: base.Principal,
        prompt: Prompt,
        body: bytes,
        deadline: float,
    ) -> dispatch.Request:
        workspace = self._source.fleet.workspaces[held.workspace]
        return dispatch.Request(
            workspace=held.workspace,
            klass=outcomes.Class.ONLINE,
            model=prompt.model,
            service="",
            method="POST",
            path=request.url.path,
            body=body,
            content_type=errors.JSON_TYPE,
            is_stream=bool(prompt.stream),
            is_repeatable=True,
            deadline=deadline,
            digest=held.digest,
            cost=estimate_cost(prompt, body),
            weight=workspace.weight,
            digests=compute_digests(prompt),
        )
