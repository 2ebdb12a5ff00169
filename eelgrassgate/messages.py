"""Messages between the project's own processes, as MessagePack.

Every message carries the protocol's version; a peer of another version is
refused at the first message. Deadlines travel as remaining milliseconds.
"""

from typing import Final

import msgspec

from eelgrassgate import outcomes

VERSION: Final = 1


class Message(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, tag_field="t"
):
    """Base of all messages."""

    v: int = VERSION


class Hello(Message, frozen=True):
    """Opens a connection, first from the client and then as the answer.

    Attributes:
        instance: The sender's instance name.
        incarnation: A number that is new at each start of the instance.
        service: `entry` or `agent`.
        zone: The sender's zone.
        region: The sender's region.
        lane: `control`, `online` or `batch`; one connection for each.
        endpoint: For an agent, what it stands beside.
    """

    instance: str
    incarnation: int
    service: str
    zone: str
    region: str
    lane: str = "control"
    endpoint: "EndpointInfo | None" = None


class EndpointInfo(msgspec.Struct, frozen=True):
    """What an agent stands beside.

    Attributes:
        endpoint: The endpoint's id in the configuration.
        kind: `engine` or `service`.
        models: The models that an engine serves.
        service: The plain service's name.
        checks_fence: Whether the endpoint refuses an old fencing number.
        can_resume: Whether the engine resumes a cancelled stream.
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
        sent_ms: The sender's monotonic clock in ms, echoed in the answer.
        config_revision: The newest configuration revision that it holds.
        config_age_ms: How long ago the store confirmed it; None for never.
        next_ms: Within how many ms the next heartbeat follows.
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
        attempt: The attempt's id, never used twice.
        workspace: The workspace that it runs for.
        klass: Online or batch.
        method: The HTTP method.
        path: The endpoint's path with its query.
        body: The body.
        content_type: The body's media type.
        is_stream: Whether the answer streams events.
        remaining_ms: Time left before the deadline; None for never.
        due_ms: For batch, time left until the job is due; None for never.
        cost: Estimated work in tokens.
        weight: The workspace's weight for shares.
        elsewhere: Work in tokens that this sender dispatched for the
            workspace to other agents since its last submit to this one.
        is_repeatable: Whether the call may run more than once.
        credit: How many parts may be sent before more credit arrives.
        owner: The job owner's slot, empty for online.
        fence: The owner's fencing number, 0 for none.
        item: For batch, `job/index`, by which a successor asks for it.
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
    """Allows an agent to send `parts` more parts of an attempt."""

    attempt: str
    parts: int


class Cancel(Message, frozen=True):
    """Asks an agent to stop an attempt."""

    attempt: str


class Head(Message, frozen=True):
    """The start of an attempt's answer."""

    attempt: str
    status: int
    content_type: str


class Data(Message, frozen=True):
    """A part of an attempt's answer, numbered from 0."""

    attempt: str
    sequence: int
    data: bytes


class End(Message, frozen=True):
    """The attempt's answer is whole and had `parts` parts."""

    attempt: str
    parts: int


class Refused(Message, frozen=True):
    """The attempt ended without a whole answer.

    Attributes:
        attempt: The attempt's id.
        refusal: The reason, and whether it ran.
        is_endpoint_ill: Whether it speaks against the endpoint.
    """

    attempt: str
    refusal: outcomes.Refusal
    is_endpoint_ill: bool = False


class Settled(Message, frozen=True):
    """Tells an agent that these items' results are committed.

    The agent keeps the result of a batch item until then, for a successor.
    """

    items: tuple[str, ...]


class Inquire(Message, frozen=True):
    """A job's new owner asks which items of it an agent knows.

    The agent refuses older fencing numbers of `owner` from then on.
    """

    owner: str
    fence: int
    job: str


class ItemState(msgspec.Struct, frozen=True):
    """What an agent knows of an item.

    Attributes:
        item: `job/index`.
        attempt: The attempt that ran or runs it.
        is_running: Whether it is queued or running.
        status: The answer's status once it has ended, 0 before.
        body: The whole answer once it has ended.
        refusal: The refusal, if it ended in one.
    """

    item: str
    attempt: str
    is_running: bool
    status: int = 0
    body: bytes = b""
    refusal: outcomes.Refusal | None = None


class Known(Message, frozen=True):
    """Answers `Inquire`; `is_stale` tells an owner that it was replaced."""

    owner: str
    fence: int
    job: str
    items: tuple[ItemState, ...]
    is_stale: bool = False


class LoadReport(Message, frozen=True):
    """An agent's state, sent on change and at each heartbeat.

    Attributes:
        online_queued: Online attempts that wait in the agent.
        online_running: Online attempts in the endpoint.
        batch_queued: Batch attempts that wait in the agent.
        batch_running: Batch attempts in the endpoint.
        window: How many attempts the agent now lets into the endpoint.
        wait_ms: Estimated wait of a new online attempt.
        is_leaving: Whether the agent takes no new work.
        cached: Digests of prompt prefixes newly held by the endpoint.
        evicted: Digests of prompt prefixes no longer held.
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
    """A home asks a member to lend its minting rights, by heartbeat.

    Attributes:
        asked_ms: The asker's clock, echoed in the answer; the asker counts
            the loan from it.
        nonce: The asker's incarnation, echoed in the answer.
    """

    asked_ms: int
    nonce: int


class LendRights(Message, frozen=True):
    """A member lends its minting rights of some shards to the receiver.

    Attributes:
        asked_ms: Echo of the question.
        nonce: Echo of the question.
        loan_ms: How long. The lender counts from sending, the borrower from
            when it asked, which is earlier.
        members: The lender's right is one part in `members`.
        shards: Bit set of the shards that are lent; replaces earlier loans.
    """

    asked_ms: int
    nonce: int
    loan_ms: int
    members: int
    shards: int


class ReturnRights(Message, frozen=True):
    """A leaving home returns all that the receiver has lent to it."""

    nonce: int


class EpochSettled(Message, frozen=True):
    """No right of the sender is in use by an epoch older than `epoch`."""

    epoch: int


class AskConfirmation(Message, frozen=True):
    """A member asks that the receiver doesn't remove it for a while.

    Attributes:
        asked_ms: The asker's clock, echoed in the answer.
        nonce: The asker's incarnation, echoed in the answer.
    """

    asked_ms: int
    nonce: int


class Confirmation(Message, frozen=True):
    """Promises not to remove the receiver for the fleet's agreed time."""

    asked_ms: int
    nonce: int


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tokens asked for a bucket.

    Attributes:
        bucket: `workspace` or `workspace:batch`.
        needed: Tokens that requests wait for.
        wanted: Further tokens, to be given if they are plentiful.
    """

    bucket: str
    needed: float
    prefetch: float


class TokenReturn(msgspec.Struct, frozen=True, array_like=True):
    """A grant is used up or void; `unspent` tokens go back."""

    bucket: str
    grant: int
    unspent: float


class AskTokens(Message, frozen=True):
    """An entry asks a home for tokens and reports its spending.

    Attributes:
        request: A number, echoed in the grant and never used twice.
        asks: What is asked for.
        returns: Grants that the asker no longer holds.
    """

    request: int
    asks: tuple[TokenRequest, ...]
    returns: tuple[TokenReturn, ...] = ()


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens for a bucket.

    Attributes:
        bucket: The bucket.
        grant: The grant's number at its home.
        tokens: How many; may be none.
        wait_ms: If fewer than needed, when the next is expected.
    """

    bucket: str
    grant: int
    tokens: float
    wait_ms: int = 0


class GrantTokens(Message, frozen=True):
    """Tokens that are valid `ttl_ms` from when the asker asked."""

    request: int
    ttl_ms: int
    grants: tuple[TokenGrant, ...]


class PullConfig(Message, frozen=True):
    """Asks a peer for what changed after `revision`."""

    revision: int


class ConfigRecord(msgspec.Struct, frozen=True):
    """One configuration record; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class PushConfig(Message, frozen=True):
    """Changes after `base` up to `revision`; whole if `is_whole`."""

    base: int
    revision: int
    is_whole: bool
    records: tuple[ConfigRecord, ...]


class Leave(Message, frozen=True):
    """The sender leaves; it takes no new work."""


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
    """A message could not be decoded or is of another version."""


def encode(message: AnyMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> AnyMessage:
    """Decode a message.

    Raises:
        BadMessageError: The bytes are no message of this version.
    """
    try:
        message = _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise BadMessageError(str(error)) from error
    if message.v != VERSION:
        raise BadMessageError(f"version {message.v}, not {VERSION}")
    return message
