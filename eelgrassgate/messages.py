"""Messages between the processes of the system, as MessagePack.

Every message carries the protocol version; a peer with another version is
rejected at its first message. Deadlines are sent as remaining milliseconds.
"""

from typing import Final

import msgspec

from eelgrassgate import decoding
from eelgrassgate import outcomes

VERSION: Final = 1


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, tag_field="t"
):
    """Base of all messages."""

    v: int = VERSION


class Hello(Message, frozen=True):
    """Opens a connection; the client sends it first, the server replies.

    Attributes:
        instance: The sender's instance name.
        incarnation: A number that changes at each start of the instance.
        service: `entry` or `agent`.
        zone: The sender's zone.
        region: The sender's region.
        lane: `control`, `online` or `batch`; each has its own connection.
        endpoint: The endpoint of an agent.
    """

    instance: str
    incarnation: int
    service: str
    zone: str
    region: str
    lane: str = "control"
    endpoint: "EndpointInfo | None" = None


class EndpointInfo(msgspec.Struct, frozen=True):
    """The endpoint that an agent serves.

    Attributes:
        endpoint: The endpoint's id in the configuration.
        kind: `engine` or `service`.
        models: The models that an engine serves.
        service: The plain service's name.
        checks_fence: Whether the endpoint rejects old fencing tokens.
        can_resume: Whether the engine resumes cancelled streams.
    """

    endpoint: str
    kind: str
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fence: bool = False
    can_resume: bool = False


class Heartbeat(Message, frozen=True):
    """Shows that the sender is alive; answered by `HeartbeatAck`.

    Attributes:
        sent_ms: The sender's monotonic clock in ms, echoed in the reply.
        config_revision: The sender's newest configuration revision.
        config_age_ms: Time since the store confirmed it; None for never.
        next_ms: Time within which the next heartbeat follows.
    """

    sent_ms: int
    config_revision: int = 0
    config_age_ms: int | None = None
    next_ms: int = 500


class HeartbeatAck(Message, frozen=True):
    """Answers a heartbeat."""

    sent_ms: int
    config_revision: int = 0
    config_age_ms: int | None = None


class Submit(Message, frozen=True):
    """Asks an agent to run one attempt.

    Attributes:
        attempt: The attempt's id, never reused.
        workspace: The workspace that it runs for.
        klass: The request class.
        method: The HTTP method.
        path: The path at the endpoint, with the query.
        body: The request body.
        content_type: The body's media type.
        is_stream: Whether the response is a stream of events.
        remaining_ms: Time until the deadline; None for never.
        due_ms: For batch, time until the job is due; None for never.
        cost: Estimated cost in tokens.
        weight: The workspace's weight in fair queuing.
        elsewhere: Cost in tokens that this sender dispatched for the
            workspace to other agents since its last submit to this one.
        is_repeatable: Whether the call may run more than once.
        credit: Number of messages that may be sent before more credit.
        owner: The job owner's slot, empty for online.
        fence: The owner's fencing token, 0 for none.
        item: For batch, `job/index`, by which a new owner can query it.
    """

    attempt: str
    workspace: str
    klass: outcomes.RequestClass
    method: str
    path: str
    body: bytes
    content_type: str
    is_stream: bool
    remaining_ms: int | None
    cost: float
    weight: float
    due_ms: int | None = None
    elsewhere: float = 0.0
    is_repeatable: bool = True
    credit: int = 64
    owner: str = ""
    fence: int = 0
    item: str = ""


class Credit(Message, frozen=True):
    """Allows an agent to send `parts` more data messages of an attempt."""

    attempt: str
    parts: int


class Cancel(Message, frozen=True):
    """Asks an agent to cancel an attempt."""

    attempt: str


class Head(Message, frozen=True):
    """Status and media type of an attempt's response."""

    attempt: str
    status: int
    content_type: str


class Data(Message, frozen=True):
    """Part of the body of an attempt's response, numbered from 0."""

    attempt: str
    sequence: int
    data: bytes


class End(Message, frozen=True):
    """The attempt's response is complete and had `parts` data messages."""

    attempt: str
    parts: int


class Refused(Message, frozen=True):
    """The attempt ended without a complete response.

    Attributes:
        attempt: The attempt's id.
        refusal: The reason, and whether the attempt may have run.
        is_endpoint_fault: Whether the failure counts against the endpoint.
    """

    attempt: str
    refusal: outcomes.Refusal
    is_endpoint_fault: bool = msgspec.field(
        default=False, name="is_endpoint_ill"
    )


class Settled(Message, frozen=True):
    """Tells an agent that these items' results are committed.

    Until then the agent keeps each result in case the job's owner changes.
    """

    items: tuple[str, ...]


class Inquire(Message, frozen=True):
    """Asks an agent, on behalf of a job's new owner, for the job's items.

    From then on the agent rejects older fencing tokens of `owner`.
    """

    owner: str
    fence: int
    job: str


class ItemState(msgspec.Struct, frozen=True):
    """The state of an item at an agent.

    Attributes:
        item: `job/index`.
        attempt: The attempt that ran or runs it.
        is_running: Whether it is queued or running.
        status: HTTP status of the response, 0 while there is none.
        body: The complete body of the response.
        refusal: The refusal, if the attempt ended with one.
    """

    item: str
    attempt: str
    is_running: bool
    status: int = 0
    body: bytes = b""
    refusal: outcomes.Refusal | None = None


class Known(Message, frozen=True):
    """Reply to `Inquire`; `is_stale` means a newer owner has asked."""

    owner: str
    fence: int
    job: str
    items: tuple[ItemState, ...]
    is_stale: bool = False


class LoadReport(Message, frozen=True):
    """An agent's load, sent when it changes and with each heartbeat.

    Attributes:
        online_queued: Online attempts queued at the agent.
        online_running: Online attempts running at the endpoint.
        batch_queued: Batch attempts queued at the agent.
        batch_running: Batch attempts running at the endpoint.
        window: Current limit of concurrent attempts at the endpoint.
        wait_ms: Estimated queuing time of a new online attempt.
        is_leaving: Whether the agent is shutting down.
        cached: Digests of prompt prefixes that the endpoint has cached.
        evicted: Digests of prompt prefixes that it has evicted.
    """

    online_queued: int
    online_running: int
    batch_queued: int
    batch_running: int
    window: int
    wait_ms: int = 0
    is_leaving: bool = False
    cached: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class AskRights(Message, frozen=True):
    """Asks a member to lend its share of the rate limits.

    The sender is the home of some buckets: the instance that grants their
    tokens.

    Attributes:
        asked_ms: The sender's clock, echoed in the reply; the loan starts
            at this time for the borrower.
        nonce: The sender's incarnation, echoed in the reply.
    """

    asked_ms: int
    nonce: int


class LendRights(Message, frozen=True):
    """Lends the sender's share of some shards' rates to the receiver.

    Attributes:
        asked_ms: `asked_ms` of the request.
        nonce: `nonce` of the request.
        loan_ms: Duration of the loan. The lender counts it from sending, the
            borrower from its request, so that the borrower stops first.
        members: The lender's share is 1/`members` of each rate.
        shards: Bit set of the lent shards; replaces earlier loans.
    """

    asked_ms: int
    nonce: int
    loan_ms: int
    members: int
    shards: int


class ReturnRights(Message, frozen=True):
    """Returns all loans of the receiver; sent by a home at shutdown."""

    nonce: int


class EpochSettled(Message, frozen=True):
    """No share of the sender is in use under an epoch before `epoch`."""

    epoch: int


class AskConfirmation(Message, frozen=True):
    """Asks the receiver not to remove the sender for the agreed time.

    Attributes:
        asked_ms: The sender's clock, echoed in the reply.
        nonce: The sender's incarnation, echoed in the reply.
    """

    asked_ms: int
    nonce: int


class Confirmation(Message, frozen=True):
    """Promises not to remove the receiver for the agreed time."""

    asked_ms: int
    nonce: int


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for tokens of a bucket.

    Attributes:
        bucket: `workspace` or `workspace:batch`.
        needed: Tokens that pending requests need.
        prefetch: Further tokens, granted if enough are available.
    """

    bucket: str
    needed: float
    prefetch: float


class TokenReturn(msgspec.Struct, frozen=True, array_like=True):
    """Return of the `unspent` tokens of a used or expired grant."""

    bucket: str
    grant: int
    unspent: float


class AskTokens(Message, frozen=True):
    """Requests tokens from a home and returns unused ones.

    Attributes:
        request: Request number, echoed in the reply and never reused.
        asks: The requested tokens by bucket.
        returns: Unspent tokens of grants that are used or expired.
    """

    request: int
    asks: tuple[TokenRequest, ...]
    returns: tuple[TokenReturn, ...] = ()


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted for a bucket.

    Attributes:
        bucket: The bucket.
        grant: The grant's id at the home; 0 if nothing was granted.
        tokens: Number of tokens granted; may be 0.
        wait_ms: Expected time to the next token if fewer than needed.
    """

    bucket: str
    grant: int
    tokens: float
    wait_ms: int = 0


class GrantTokens(Message, frozen=True):
    """Reply to `AskTokens`; `ttl_ms` counts from when it was sent."""

    request: int
    ttl_ms: int
    grants: tuple[TokenGrant, ...]


class PullConfig(Message, frozen=True):
    """Asks a peer for the configuration changes after `revision`."""

    revision: int


class ConfigRecord(msgspec.Struct, frozen=True):
    """One configuration record; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class PushConfig(Message, frozen=True):
    """Changes from `base` to `revision`, or all records if `is_whole`."""

    base: int
    revision: int
    is_whole: bool
    records: tuple[ConfigRecord, ...]


class Leave(Message, frozen=True):
    """The sender is shutting down and accepts no new work."""


AnyMessage = (
    Hello
    | Heartbeat
    | HeartbeatAck
    | Submit
    | Credit
    | Cancel
    | Head
    | Data
    | End
    | Refused
    | Settled
    | Inquire
    | Known
    | LoadReport
    | AskRights
    | LendRights
    | ReturnRights
    | EpochSettled
    | AskConfirmation
    | Confirmation
    | AskTokens
    | GrantTokens
    | PullConfig
    | PushConfig
    | Leave
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(AnyMessage)


class BadMessageError(Exception):
    """A message is malformed or has another protocol version."""


def encode(message: AnyMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decode a message.

    Raises:
        BadMessageError: The data is not a message of this version.
    """
    try:
        message = decoding.decode(_DECODER, data)
    except msgspec.DecodeError as error:
        raise BadMessageError(str(error)) from error
    if message.v != VERSION:
        raise BadMessageError(f"version {message.v}, not {VERSION}")
    return message
