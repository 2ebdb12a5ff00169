"""Takes on open jobs, runs their items between online requests."""

from collections.abc import Callable
import time
import traceback
from typing import Final
import urllib.parse

import anyio
from anyio import abc
import msgspec
from returns import result
import xxhash

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import outcomes
from eelgrassgate.batches import items
from eelgrassgate.batches import ownership
from eelgrassgate.batches import records
from eelgrassgate.batches import scheduling
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import reports as reports_lib
from eelgrassgate.store import base
from eelgrassgate.store import mirror

# How often items are placed; reports of load come about as often.
STEP_S: Final = 0.05
# Results that end together are listed by one call, since calls are priced.
GATHER_S: Final = 0.25
# How long each next member in line waits for the one before it to claim; it
# sees a claim up to 1.3 s late.
CLAIM_TURN_S: Final = 1.7
# Pause of an item after a run that did not count.
RETRY_S: Final = 0.2
STORE_RETRY_S: Final = 0.3
# Text of closed jobs that is kept for readers; a tenth of a small instance's
# memory.
KEPT_BYTES: Final = 20_000_000
# Items that one process runs at once; bounds its memory and its connections.
MOST_RUNNING: Final = 200


class _OpenJob(msgspec.Struct, frozen=True):
    """A job that may be claimed, and the revision at which it was opened."""

    job: records.Job
    revision: int


class _Run(msgspec.Struct):
    """One item that runs.

    Attributes:
        owned: Its job.
        progress: Its output.
        endpoint: Where it runs.
        scope: Cancels it.
        began: When it began.
        gives_way: Whether it was stopped for an online request.
    """

    owned: ownership.OwnedJob
    progress: items.Progress
    endpoint: catalog.Endpoint
    scope: anyio.CancelScope
    began: float
    gives_way: bool = False


class Owner(reports_lib.HeardListener):
    """Runs the jobs that this process has claimed."""

    def __init__(
        self,
        store: base.Store,
        watched: mirror.Mirror,
        member: registry.Member,
        directory: registry.Directory,
        registration: registry.Registration,
        dialect: calls.Dialect,
        pool: upstream.Pool,
        placement: placement_lib.Placement,
        table: loads.Loads,
        read_catalog: Callable[[], catalog.Catalog],
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Create an owner; see `create_owner`."""
        self._store = store
        self._watched = watched
        self._member = member
        self._directory = directory
        self._registration = registration
        self._dialect = dialect
        self._pool = pool
        self._placement = placement
        self._loads = table
        self._read_catalog = read_catalog
        self._metrics = metrics
        self._jobs_by_id: dict[str, _OpenJob] = {}
        self._closed: set[str] = set()
        self._ended: set[str] = set()
        self._kept_by_id: dict[str, ownership.OwnedJob] = {}
        self._free_since_by_job: dict[str, float] = {}
        self._owned_by_id: dict[str, ownership.OwnedJob] = {}
        self._runs: list[_Run] = []
        self._paused_until_by_item: dict[str, float] = {}
        self._run_times = scheduling.RunTimes()
        self._next_start_by_endpoint: dict[str, float] = {}
        self._lease = 0
        self.is_draining = False
        watched.subscribe(self._take)

    def _take(self, changes: tuple[base.Change, ...]) -> None:
        """Follow open jobs and ends; claims are looked up in the mirror."""
        for change in changes:
            kind, job = _split_key(change.key)
            if kind == records.OPEN_JOBS:
                if change.value is None:
                    self._jobs_by_id.pop(job, None)
                    self._closed.discard(job)
                    self._end(job)
                else:
                    self._jobs_by_id[job] = _OpenJob(
                        records.decode_job(change.value), change.revision
                    )
            elif kind == records.ENDS:
                if change.value is None:
                    self._ended.discard(job)
                else:
                    self._ended.add(job)
                    self._end(job)

    def offer(self, job: records.Job, revision: int) -> None:
        """Take note of a job that was accepted at a revision just now."""
        known = _OpenJob(job, revision)
        self._jobs_by_id.setdefault(records.quote(job.id), known)

    def find_record(self, job: str) -> records.Job | None:
        """Return a job's record, if it is open or was closed here lately."""
        name = records.quote(job)
        known = self._jobs_by_id.get(name)
        if known is not None:
            return known.job
        kept = self._kept_by_id.get(name)
        return None if kept is None else kept.job

    def find(self, job: str) -> ownership.OwnedJob | None:
        """Return a job whose listed results are known here for certain."""
        name = records.quote(job)
        kept = self._kept_by_id.get(name)
        if kept is not None:
            return kept
        owned = self._owned_by_id.get(name)
        if owned is None or not owned.is_claimed() or not owned.is_certain():
            return None
        return owned if self._registration.is_valid() else None

    def _end(self, job: str) -> None:
        owned = self._owned_by_id.get(job)
        if owned is None or not owned.has_work_left():
            return
        del self._owned_by_id[job]
        owned.is_ended = True
        self._cancel_runs(owned)
        logs.log_message("job ended by its caller", job=job)

    def count_running(self) -> int:
        """Return how many items run here."""
        return len(self._runs)

    def count_uncommitted(self) -> int:
        """Return how many results are not listed yet."""
        return sum(len(one.ended) for one in self._owned_by_id.values())

    async def run(self) -> None:
        """Own jobs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._follow_lease()
                if not self.is_draining:
                    self._close_ended(tasks)
                    self._claim_free(tasks)
                    self._start_items(tasks)
                self._give_way()
                await anyio.sleep(STEP_S)

    def _follow_lease(self) -> None:
        """Claims end with the lease that they were made under."""
        if self._registration.lease == self._lease:
            return
        self._lease = self._registration.lease
        for owned in self._owned_by_id.values():
            owned.forget_claim()

    def _claim_free(self, tasks: abc.TaskGroup) -> None:
        """Take on open jobs that nobody holds and that are this member's."""
        if not self._lease or not self._watched.is_connected:
            return
        now = deadlines.now()
        members = self._directory.get_names(registry.Role.BATCH)
        for name, job in list(self._jobs_by_id.items()):
            if name in self._owned_by_id:
                continue
            if name in self._closed or name in self._ended:
                continue
            claim = self._watched.records_by_key.get(f"{records.CLAIMS}{name}")
            if claim is not None and not self._is_left_over(claim):
                self._free_since_by_job.pop(name, None)
                continue
            since = self._free_since_by_job.setdefault(name, now)
            order = scheduling.choose_owner(name, members, weigh)
            turn = len(order)
            if self._member.name in order:
                turn = order.index(self._member.name)
            if claim is not None or now - since >= turn * CLAIM_TURN_S:
                owned = ownership.create_owned_job(
                    self._store, job.job, job.revision
                )
                if claim is not None:
                    owned.replace_claim(claim.revision)
                self._owned_by_id[name] = owned
                tasks.start_soon(self._hold, name, owned)

    def _close_ended(self, tasks: abc.TaskGroup) -> None:
        """Forget jobs that their callers have ended."""
        members = self._directory.get_names(registry.Role.BATCH)
        for name in list(self._ended - self._closed):
            order = scheduling.choose_owner(name, members, weigh)
            if order and order[0] == self._member.name:
                self._closed.add(name)
                tasks.start_soon(self._close, name)

    async def _close(self, name: str) -> None:
        job = urllib.parse.unquote(name)
        closing = base.Transaction((), ownership.make_closing(job))
        while isinstance(await self._store.commit(closing), result.Failure):
            await anyio.sleep(STORE_RETRY_S)

    def _keep(self, name: str, owned: ownership.OwnedJob) -> None:
        """Keep a closed job's results for readers, the latest ones."""
        self._kept_by_id[name] = owned
        size = sum(
            len(one.text)
            for kept in self._kept_by_id.values()
            for one in kept.listed
        )
        while size > KEPT_BYTES and len(self._kept_by_id) > 1:
            dropped = self._kept_by_id.pop(next(iter(self._kept_by_id)))
            size -= sum(len(one.text) for one in dropped.listed)

    def _is_left_over(self, claim: base.Record) -> bool:
        """Tell whether a claim of a job not in hand here is this instance's.

        Either an earlier process made it, which is gone though its lease has
        not ended, or this one let go of the job; nobody else would take it.
        """
        owner, _ = ownership.read_claim(claim.value)
        return owner == self._member.name

    async def _hold(self, name: str, owned: ownership.OwnedJob) -> None:
        """Claim a job, list its results, until it is closed or lost."""
        is_loaded = False
        try:
            while owned.has_work_left() and not owned.is_ended:
                try:
                    if not owned.is_claimed():
                        await self._claim(owned)
                    if not is_loaded:
                        await owned.load()
                        is_loaded = True
                        logs.log_message(
                            "job taken on",
                            job=name,
                            left=len(owned.waiting),
                            total=owned.job.total,
                        )
                    await self._list_results(owned)
                except ownership.StoreFailedError as error:
                    logs.log_message(
                        "job waits for the store", job=name, reason=str(error)
                    )
                    await anyio.sleep(STORE_RETRY_S)
        except ownership.LostError as error:
            logs.log_message("job lost", job=name, reason=str(error))
            # It is seen again if it is still open.
            self._restore_open(name)
            self._cancel_runs(owned)
        finally:
            if self._owned_by_id.get(name) is owned:
                del self._owned_by_id[name]
            self._free_since_by_job.pop(name, None)
        if not owned.has_work_left():
            self._closed.add(name)
            self._keep(name, owned)

    def _restore_open(self, name: str) -> None:
        """Know a job as the mirror does: open or not at all."""
        self._jobs_by_id.pop(name, None)
        record = self._watched.records_by_key.get(f"{records.OPEN_JOBS}{name}")
        if record is not None:
            self._jobs_by_id[name] = _OpenJob(
                records.decode_job(record.value), record.revision
            )

    async def _claim(self, owned: ownership.OwnedJob) -> None:
        """Claim a job.

        Raises:
            ownership.LostError: Another process has it.
            ownership.StoreFailedError: The store gave no answer.
        """
        lease = self._registration.lease
        if not lease:
            raise ownership.StoreFailedError("no lease")
        member = self._member
        if not await owned.claim(member.name, member.incarnation, lease):
            raise ownership.LostError("another process holds the claim")
        self._lease = self._registration.lease
        if lease != self._lease:
            owned.forget_claim()

    async def _list_results(self, owned: ownership.OwnedJob) -> None:
        """Wait for results and list them."""
        owned.give_up_late()
        if not owned.has_news():
            await anyio.sleep(STEP_S)
            return
        if not owned.is_whole():
            await anyio.sleep(GATHER_S)
        if owned.is_claimed():
            await owned.commit()

    def _cancel_runs(self, owned: ownership.OwnedJob) -> None:
        for run in self._runs:
            if run.owned is owned:
                run.scope.cancel()

    def _start_items(self, tasks: abc.TaskGroup) -> None:
        """Start waiting items where there is room, those due first."""
        waiting = self._rank_waiting()
        now = deadlines.now()
        self._next_start_by_endpoint = {
            name: next_at
            for name, next_at in self._next_start_by_endpoint.items()
            if next_at > now
        }

        def may_use(endpoint: catalog.Endpoint) -> bool:
            return endpoint.id not in self._next_start_by_endpoint

        full: set[str] = set()
        for owned, progress in waiting:
            if len(self._runs) >= MOST_RUNNING:
                return
            route = self._find_route(owned, progress)
            if route is None or route.targets[0].service in full:
                continue
            endpoint = scheduling.find_room(
                self._placement,
                self._loads,
                route.targets[0].service,
                may_use=may_use,
                avoid=progress.failed_at,
            )
            if endpoint is None:
                if not progress.failed_at:
                    full.add(route.targets[0].service)
                continue
            self._next_start_by_endpoint[endpoint.id] = now + (
                scheduling.NEAR_START_EVERY_S
                if self._is_home(endpoint)
                else scheduling.AWAY_START_EVERY_S
            )
            self._start(tasks, owned, progress, endpoint, route)

    def _is_home(self, endpoint: catalog.Endpoint) -> bool:
        """Tell whether an endpoint's items are foremost this process's."""
        members = self._directory.members_by_name
        near = [
            name
            for name in self._directory.get_names(registry.Role.BATCH)
            if members[name].zone == endpoint.zone
        ]
        order = scheduling.choose_owner(endpoint.id, near, weigh)
        return bool(order) and order[0] == self._member.name

    def _rank_waiting(
        self,
    ) -> list[tuple[ownership.OwnedJob, items.Progress]]:
        """Return the items that may start, the first one first."""
        now = time.time()
        ranked = [
            (
                scheduling.rank(
                    owned.job.due,
                    self._run_times.estimate_left(progress.ran_s),
                    now,
                ),
                # Those that have run for longest end a job soonest.
                -progress.ran_s,
                owned,
                progress,
            )
            for owned in self._owned_by_id.values()
            if owned.is_claimed()
            for progress in owned.waiting
            if self._is_due(progress)
        ]
        ranked.sort(key=lambda one: one[:2])
        return [(owned, progress) for _, _, owned, progress in ranked]

    def _is_due(self, progress: items.Progress) -> bool:
        until = self._paused_until_by_item.get(progress.item.id)
        if until is None or deadlines.is_past(until):
            self._paused_until_by_item.pop(progress.item.id, None)
            return True
        return False

    def _find_route(
        self, owned: ownership.OwnedJob, progress: items.Progress
    ) -> catalog.Route | None:
        """Return the route of an item; without one it can't be done."""
        present = self._read_catalog()
        if not present.version:
            return None
        path = progress.item.path.partition("?")[0]
        route = present.find_route(owned.job.host, path)
        if route is None:
            owned.waiting.remove(progress)
            owned.end(progress, records.DEAD_LETTER, "no route")
        return route

    def _start(
        self,
        tasks: abc.TaskGroup,
        owned: ownership.OwnedJob,
        progress: items.Progress,
        endpoint: catalog.Endpoint,
        route: catalog.Route,
    ) -> None:
        owned.waiting.remove(progress)
        owned.running[progress.item.id] = progress
        run = _Run(
            owned, progress, endpoint, anyio.CancelScope(), deadlines.now()
        )
        self._runs.append(run)
        held = self._loads.hold(endpoint.id, outcomes.RequestClass.BATCH)
        held.__enter__()
        tasks.start_soon(self._run_item, run, held, route)

    async def _run_item(
        self, run: _Run, held: object, route: catalog.Route
    ) -> None:
        outcome = items.Outcome.BROKEN
        reason = "stopped"
        deadline = items.compute_deadline(run.owned.job.kept_until, time.time())
        try:
            with (
                run.scope,
                self._placement.listen(run.endpoint.id) as note_heard,
            ):
                outcome, reason = await items.run(
                    self._pool,
                    self._dialect,
                    run.endpoint,
                    run.owned.job.host,
                    run.owned.job.workspace,
                    deadline,
                    run.progress,
                    note_heard,
                )
        except Exception:
            # One item's fault must not end all others of the process.
            reason = "fault"
            logs.log_message(
                "fault",
                id=run.progress.item.id,
                trace=traceback.format_exc()[-2_000:],
            )
        finally:
            held.__exit__(None, None, None)  # type: ignore[attr-defined]
            self._runs.remove(run)
            run.owned.running.pop(run.progress.item.id, None)
        self._settle(run, outcome, reason, route)

    def _settle(
        self,
        run: _Run,
        outcome: items.Outcome,
        reason: str,
        route: catalog.Route,
    ) -> None:
        """Decide what follows from how a run ended."""
        progress = run.progress
        progress.ran_s += deadlines.now() - run.began
        is_cancelled = run.scope.cancel_called
        logs.log_message(
            "run",
            job=run.owned.id,
            id=progress.item.id,
            endpoint=run.endpoint.id,
            result="gave way" if run.gives_way else outcome.value,
            reason=reason,
            last_event=progress.last_event,
            took_ms=round((deadlines.now() - run.began) * 1000),
        )
        self._metrics.count_run("gave way" if run.gives_way else outcome.value)
        if run.owned.is_ended:
            return
        if outcome is items.Outcome.COMPLETE:
            self._placement.note_success(run.endpoint)
            self._run_times.note(progress.ran_s)
            self._metrics.observe_item(records.COMPLETED, progress.ran_s)
            run.owned.end(progress, records.COMPLETED, reason)
            return
        if outcome is items.Outcome.IMPOSSIBLE:
            run.owned.end(progress, records.DEAD_LETTER, reason)
            return
        if outcome is items.Outcome.FAILED:
            progress.failures += 1
            progress.failed_at.add(run.endpoint.id)
            if progress.failures == 1:
                # Later ones rather tell of the item than of endpoints.
                self._placement.note_refusal(run.endpoint)
            if progress.failures >= route.max_attempts:
                run.owned.end(progress, records.DEAD_LETTER, reason)
                return
        if outcome is items.Outcome.NOT_RUN:
            self._placement.note_refusal(run.endpoint)
        if not is_cancelled:
            self._paused_until_by_item[progress.item.id] = deadlines.after(
                RETRY_S
            )
            if outcome in {items.Outcome.NOT_SENT, items.Outcome.BROKEN}:
                self._placement.note_failure(run.endpoint)
        run.owned.waiting.insert(0, progress)

    def take(self, report: reports_lib.Report) -> None:
        """Give way at once where a report shows more than the slots hold."""
        if report.online_by_endpoint:
            self._give_way()

    def _give_way(self) -> None:
        """Stop items where online requests fill the slots."""
        by_endpoint: dict[str, list[_Run]] = {}
        for run in self._runs:
            by_endpoint.setdefault(run.endpoint.id, []).append(run)
        for runs in by_endpoint.values():
            endpoint = runs[0].endpoint
            excess = scheduling.count_excess(self._loads, endpoint)
            if not excess:
                continue
            excess = self._count_own_part(endpoint.id, excess, len(runs))
            stopping = sum(run.gives_way for run in runs)
            # The item that has run for the shortest time loses least.
            runs.sort(key=lambda run: run.began, reverse=True)
            for run in runs:
                if stopping >= excess:
                    break
                if not run.gives_way:
                    run.gives_way = True
                    run.scope.cancel()
                    stopping += 1

    def _count_own_part(self, endpoint: str, excess: int, own: int) -> int:
        """Return how many of the items that give way are to be stopped here."""

        def rank(name: str) -> int:
            return weigh(name, endpoint)

        return scheduling.count_own_part(
            excess,
            own,
            self._loads.get_batch_by_peer(endpoint),
            rank(self._member.name),
            rank,
        )

    async def drain(self, until: float) -> None:
        """Start nothing more; wait for what runs until `until`, then stop."""
        self.is_draining = True
        while not deadlines.is_past(until):
            if not self._runs and not self.count_uncommitted():
                break
            await anyio.sleep(STEP_S)
        if self._runs:
            logs.log_message("drain cut", running=len(self._runs))
        for run in self._runs:
            run.scope.cancel()

    async def give_back(self) -> None:
        """Let go of all claims, so that others take the jobs on at once."""
        for name, owned in list(self._owned_by_id.items()):
            self._owned_by_id.pop(name, None)
            owned.is_ended = True
            if not owned.is_claimed():
                continue
            release = owned.make_release()
            answer = await self._store.commit(release)
            if isinstance(answer, result.Failure):
                # The claim ends with the lease.
                logs.log_message(
                    "claim kept", job=name, reason=answer.failure().message
                )


def _split_key(key: str) -> tuple[str, str]:
    for kind in (records.OPEN_JOBS, records.ENDS, records.CLAIMS):
        if key.startswith(kind):
            return kind, key.removeprefix(kind)
    return "", ""


def weigh(member: str, job: str) -> int:
    """Return how much a member is preferred as a job's owner."""
    return int(xxhash.xxh64_intdigest(f"{member} {job}".encode()))


def create_owner(
    store: base.Store,
    watched: mirror.Mirror,
    member: registry.Member,
    directory: registry.Directory,
    registration: registry.Registration,
    dialect: calls.Dialect,
    pool: upstream.Pool,
    placement: placement_lib.Placement,
    table: loads.Loads,
    read_catalog: Callable[[], catalog.Catalog],
    metrics: metrics_lib.Metrics,
) -> Owner:
    """Create an owner.

    Args:
        store: The store.
        watched: A mirror of `records.OPEN`.
        member: This process.
        directory: The other processes.
        registration: This process's lease, to which its claims are bound.
        dialect: Names on the wire.
        pool: Connections to endpoints.
        placement: Knows endpoints.
        table: What endpoints have in hand.
        read_catalog: Returns the configuration in force.
        metrics: Where runs are counted.
    """
    return Owner(
        store,
        watched,
        member,
        directory,
        registration,
        dialect,
        pool,
        placement,
        table,
        read_catalog,
        metrics,
    )
