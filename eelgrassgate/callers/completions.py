"""The Chat Completions and Completions API."""

from typing import Final

import msgspec
from returns import result
from starlette import requests
from starlette import responses

from eelgrassgate import outcomes
from eelgrassgate.callers import access_control
from eelgrassgate.callers import base
from eelgrassgate.callers import bodies
from eelgrassgate.callers import errors
from eelgrassgate.callers import http_responses
from eelgrassgate.config import fleet
from eelgrassgate.engine import prefix
from eelgrassgate.entry import dispatch

BYTES_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 256
PATHS: Final = ("/v1/chat/completions", "/v1/completions")


class CompletionRequest(msgspec.Struct, frozen=True):
    """The fields of a completion request that are used for routing.

    Engines receive the original body unchanged.

    Attributes:
        model: The model, or `model:adapter`.
        messages: The conversation; chat completions only.
        prompt: The prompt; completions only.
        stream: Whether the response is streamed.
        max_tokens: Maximum number of generated tokens.
        max_completion_tokens: Replaces `max_tokens` in newer clients.
    """

    model: str
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_DECODER: Final = msgspec.json.Decoder(CompletionRequest)


def parse(
    body: bytes, path: str, source: fleet.Fleet
) -> result.Result[CompletionRequest, outcomes.Refusal]:
    """Parse a completion request and check that the fleet can serve it."""
    try:
        completion = _DECODER.decode(body)
    except msgspec.DecodeError as error:
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, f"{error}.")
        )
    field = "messages" if path.startswith("/v1/chat") else "prompt"
    if not getattr(completion, field):
        message = f"The field `{field}` is missing."
        return result.Failure(
            outcomes.refuse(outcomes.Code.BAD_REQUEST, message)
        )
    if not has_model(source, completion.model):
        message = f"The model `{completion.model}` does not exist."
        return result.Failure(
            outcomes.refuse(outcomes.Code.UNKNOWN_MODEL, message)
        )
    return result.Success(completion)


def has_model(source: fleet.Fleet, name: str) -> bool:
    """Return whether the fleet has the model (or `model:adapter`) `name`."""
    base_name, _, adapter = name.partition(":")
    model = source.models.get(base_name)
    if model is None:
        return False
    return not adapter or adapter in model.adapters


def estimate_cost(completion: CompletionRequest, body: bytes) -> float:
    """Estimate the cost in tokens: the prompt plus the output limit."""
    max_tokens = completion.max_completion_tokens or completion.max_tokens
    return len(body) / BYTES_PER_TOKEN + (max_tokens or DEFAULT_MAX_TOKENS)


def compute_digests(completion: CompletionRequest) -> tuple[str, ...]:
    """Return digests of the prompt's prefix blocks, for cache affinity."""
    fields = {}
    if completion.messages:
        fields["messages"] = msgspec.json.decode(completion.messages)
    else:
        fields["prompt"] = msgspec.json.decode(completion.prompt)
    return tuple(prefix.compute_digests(prefix.read_prompt(fields)))


class CompletionHandler:
    """Handles completion requests."""

    def __init__(
        self,
        source: base.FleetSource,
        access: access_control.AccessController,
        dispatcher: base.Dispatcher,
        meter: http_responses.Meter,
    ) -> None:
        """Create the handler."""
        self._source = source
        self._access = access
        self._dispatcher = dispatcher
        self._meter = meter

    async def handle(self, request: requests.Request) -> responses.Response:
        """Handle a completion request."""
        deadline = access_control.get_deadline(request, self._source.fleet)
        admitted = await self._access.admit(request, deadline)
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
        principal: base.Principal,
        completion: CompletionRequest,
        body: bytes,
        deadline: float,
    ) -> responses.Response:
        call = self._make_call(request, principal, completion, body, deadline)
        stream = self._meter.measure(
            principal, call.klass, self._dispatcher.run(call)
        )
        checked = self._access.stop_on_withdrawal(principal, stream)
        if completion.stream:
            return await http_responses.stream_events(checked)
        return await http_responses.collect(request, checked)

    def _make_call(
        self,
        request: requests.Request,
        principal: base.Principal,
        completion: CompletionRequest,
        body: bytes,
        deadline: float,
    ) -> dispatch.Request:
        # The configuration may have changed while the body was read.
        workspace = self._source.fleet.workspaces.get(principal.workspace)
        return dispatch.Request(
            workspace=principal.workspace,
            klass=outcomes.RequestClass.ONLINE,
            model=completion.model,
            service="",
            method="POST",
            path=request.url.path,
            body=body,
            content_type=errors.JSON_TYPE,
            is_stream=bool(completion.stream),
            is_repeatable=True,
            deadline=deadline,
            digest=principal.digest,
            cost=estimate_cost(completion, body),
            weight=workspace.weight if workspace else 1.0,
            digests=compute_digests(completion),
        )
