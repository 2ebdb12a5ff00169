"""Claims open jobs and runs their items between online requests."""

from collections.abc import Callable
import functools
import sys
import time
from typing import Final
import urllib.parse

import anyio
from anyio import abc
import msgspec
from returns import result

from eelgrassgate import deadlines
from eelgrassgate import logs
from eelgrassgate import memory_budget
from eelgrassgate import outcomes
from eelgrassgate.batches import items
from eelgrassgate.batches import job_memory
from eelgrassgate.batches import job_regions
from eelgrassgate.batches import ownership
from eelgrassgate.batches import records
from eelgrassgate.batches import scheduling
from eelgrassgate.gateway import calls
from eelgrassgate.gateway import catalog
from eelgrassgate.gateway import eligibility
from eelgrassgate.gateway import lost_attempts
from eelgrassgate.gateway import metrics as metrics_lib
from eelgrassgate.gateway import placement as placement_lib
from eelgrassgate.gateway import splits
from eelgrassgate.http1 import upstream
from eelgrassgate.peering import loads
from eelgrassgate.peering import registry
from eelgrassgate.peering import rendezvous
from eelgrassgate.peering import reports as reports_lib
from eelgrassgate.quarantine import quarantine as quarantine_lib
from eelgrassgate.store import base
from eelgrassgate.store import mirror
from eelgrassgate.store import relay_regions

# Interval of the scheduling loop; load reports arrive about as often.
POLL_INTERVAL_S: Final = 0.05
# Delay for collecting results into one commit, since each store call is billed.
GROUP_COMMIT_DELAY_S: Final = 0.25
# Each lower-ranked member waits this much longer before it claims a job. Must
# exceed the delay until the others see a claim, which is up to 1.3 s.
CLAIM_STAGGER_S: Final = 1.7
STORE_RETRY_DELAY_S: Final = 0.3
# Jobs that are loaded at a time. Each waits for the memory of one value after
# the other, and with many the first would be loaded as late as the last.
MAX_LOADING_JOBS: Final = 16
# Bound on the cached results of closed jobs, a tenth of a small instance's
# memory.
MAX_CACHED_BYTES: Final = 20_000_000
# Holder of the requests of running items in the memory budget.
SENT: Final = "sent"
# Holder of outputs that are not committed.
OUTPUTS: Final = "outputs"
# Bounds the connections of one process.
MAX_RUNNING_ITEMS: Final = 200


class _OpenJob(msgspec.Struct, frozen=True):
    """An open job and the revision at which it was opened."""

    job: records.Job
    revision: int


class _Run(msgspec.Struct):
    """A run of an item at an endpoint.

    Attributes:
        owned: The item's job.
        progress: The item's output so far.
        endpoint: The endpoint.
        cancel_scope: Cancels the run.
        started_at: Monotonic time of its start.
        is_preempted: Whether it was stopped for an online request or for lack
            of memory.
        is_discarded: Whether its output is dropped when it has stopped.
    """

    owned: ownership.OwnedJob
    progress: items.Progress
    endpoint: catalog.Endpoint
    cancel_scope: anyio.CancelScope
    started_at: float
    is_preempted: bool = False
    is_discarded: bool = False


class Owner(reports_lib.ReportListener):
    """Claims jobs for this process and runs their items."""

    def __init__(
        self,
        store: base.Store,
        open_mirror: mirror.Mirror,
        member: registry.Member,
        directory: registry.Directory,
        registration: registry.Registration,
        dialect: calls.Dialect,
        pool: upstream.Pool,
        placement: placement_lib.Placement,
        load_table: loads.Loads,
        quarantine: quarantine_lib.Quarantine,
        read_catalog: Callable[[], catalog.Catalog],
        metrics: metrics_lib.Metrics,
        budget: memory_budget.Budget,
    ) -> None:
        """Create an owner; see `create_owner`."""
        self._memory = job_memory.create_job_memory(budget)
        self._is_loading_part = False
        # Requests are held a second time while they are sent.
        self._sent_account = budget.open(memory_budget.Kind.JOB, SENT)
        self._outputs_account = budget.open(memory_budget.Kind.RESULT, OUTPUTS)
        self._lacks_output_memory = False
        budget.add_cache(self._evict_cached_job)
        budget.add_cache(self._unload_items)
        budget.add_cache(self._evict_committed)
        self._store = store
        self._open_mirror = open_mirror
        self._member = member
        self._directory = directory
        self._registration = registration
        self._dialect = dialect
        self._pool = pool
        self._placement = placement
        self._loads = load_table
        self._quarantine = quarantine
        self._read_catalog = read_catalog
        self._regions = job_regions.create_job_regions(
            read_catalog, member.region
        )
        self._checked_catalog = catalog.EMPTY
        self._metrics = metrics
        self._jobs_by_id: dict[str, _OpenJob] = {}
        self._closed_jobs: set[str] = set()
        self._cancelled_jobs: set[str] = set()
        self._cached_by_id: dict[str, ownership.OwnedJob] = {}
        self._unclaimed_since_by_job: dict[str, float] = {}
        self._owned_by_id: dict[str, ownership.OwnedJob] = {}
        # Why no endpoint may run their items; empty if there is none.
        self._wait_reasons_by_job: dict[str, str] = {}
        self._runs: list[_Run] = []
        self._paused_until_by_item: dict[str, float] = {}
        self._run_time_estimator = scheduling.RunTimeEstimator()
        self._next_start_by_endpoint: dict[str, float] = {}
        self._lease = 0
        self._has_online_reports = False
        self._loading = anyio.Semaphore(MAX_LOADING_JOBS)
        self.is_draining = False
        open_mirror.subscribe(self._apply_changes)

    def _apply_changes(self, changes: tuple[base.Change, ...]) -> None:
        """Track open jobs and cancellations.

        Claims are not tracked; they are looked up in the mirror.
        """
        for change in changes:
            kind, job = _split_key(change.key)
            if kind == records.OPEN_JOBS:
                if change.value is None:
                    self._jobs_by_id.pop(job, None)
                    self._closed_jobs.discard(job)
                    self._stop_cancelled_job(job)
                else:
                    self._open_job(job, change.value, change.revision)
            elif kind == records.CANCELLATIONS:
                if change.value is None:
                    self._cancelled_jobs.discard(job)
                else:
                    self._cancelled_jobs.add(job)
                    self._stop_cancelled_job(job)

    def _open_job(self, name: str, value: bytes, revision: int) -> None:
        """Add or replace an open job; one whose record is invalid is not run.

        It stays open, so that a process that can read it may run it.
        """
        try:
            job = records.decode_job(value)
            if records.quote(job.id) != name:
                raise msgspec.ValidationError("the id differs from the key")
        except msgspec.MsgspecError as error:
            logs.log_message("job:invalid", job=name, reason=str(error))
            self._jobs_by_id.pop(name, None)
            return
        self._jobs_by_id[name] = _OpenJob(job, revision)

    def add_job(self, job: records.Job, revision: int) -> None:
        """Add a job that was just accepted, before the watch delivers it."""
        known = _OpenJob(job, revision)
        self._jobs_by_id.setdefault(records.quote(job.id), known)

    def find_record(self, job: str) -> records.Job | None:
        """Return the record of an open or recently closed job, else None."""
        name = records.quote(job)
        known = self._jobs_by_id.get(name)
        if known is not None:
            return known.job
        cached = self._cached_by_id.get(name)
        return None if cached is None else cached.job

    def find_job(self, job: str) -> ownership.OwnedJob | None:
        """Return a job whose `committed` results are known to be current."""
        name = records.quote(job)
        cached = self._cached_by_id.get(name)
        if cached is not None:
            return cached
        owned = self._owned_by_id.get(name)
        if owned is None or not owned.is_claimed() or not owned.is_synced():
            return None
        if not owned.has_committed:
            return None
        return owned if self._registration.is_valid() else None

    def _stop_cancelled_job(self, job: str) -> None:
        owned = self._owned_by_id.get(job)
        if owned is None or not owned.is_open():
            return
        del self._owned_by_id[job]
        owned.is_stopped = True
        self._cancel_runs(owned)
        logs.log_message("job cancelled", job=job)

    def count_running(self) -> int:
        """Return how many items are running in this process."""
        return len(self._runs)

    def count_uncommitted(self) -> int:
        """Return how many results are not committed yet."""
        return sum(len(one.uncommitted) for one in self._owned_by_id.values())

    async def run(self) -> None:
        """Claim jobs and run items until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._check_lease()
                self._drop_disallowed()
                self._charge_outputs()
                if not self.is_draining:
                    self._close_cancelled(tasks)
                    self._claim_available(tasks)
                    self._start_items(tasks)
                    self._load_bodies(tasks)
                self._preempt_items()
                await anyio.sleep(POLL_INTERVAL_S)

    def _check_lease(self) -> None:
        """Drop all claims if the lease that they are bound to has changed."""
        if self._registration.lease == self._lease:
            return
        self._lease = self._registration.lease
        for owned in self._owned_by_id.values():
            owned.mark_claim_expired()

    def _drop_disallowed(self) -> None:
        """Drop the results of closed jobs that may no longer be held here."""
        current = self._read_catalog()
        if current is self._checked_catalog:
            return
        self._checked_catalog = current
        for name, cached in list(self._cached_by_id.items()):
            if not self._regions.may_hold(cached.job):
                del self._cached_by_id[name]
                cached.release_memory()

    def _claim_available(self, tasks: abc.TaskGroup) -> None:
        """Claim open jobs that have no owner once it is this member's turn."""
        if not self._lease or not self._open_mirror.is_connected:
            return
        now = deadlines.now()
        is_short = self._find_unloaded() is not None
        for name, job in list(self._jobs_by_id.items()):
            if name in self._owned_by_id:
                continue
            if name in self._closed_jobs or name in self._cancelled_jobs:
                continue
            claim = self._open_mirror.records_by_key.get(
                f"{records.CLAIMS}{name}"
            )
            if claim is not None and not self._is_stale_claim(claim):
                self._unclaimed_since_by_job.pop(name, None)
                continue
            if not self._regions.may_hold(job.job):
                self._unclaimed_since_by_job.pop(name, None)
                continue
            since = self._unclaimed_since_by_job.setdefault(name, now)
            members = self._list_candidates(job.job)
            order = rendezvous.rank_members(name, members)
            turn = len(order)
            if self._member.name in order:
                turn = order.index(self._member.name)
            if is_short:
                # Others may have memory for the job.
                turn += len(order)
            if claim is not None or now - since >= turn * CLAIM_STAGGER_S:
                owned = ownership.create_owned_job(
                    self._store, job.job, job.revision, self._memory
                )
                if claim is not None:
                    owned.replace_claim(claim.revision)
                self._owned_by_id[name] = owned
                tasks.start_soon(self._run_job, name, owned)

    def _list_candidates(self, job: records.Job) -> list[str]:
        """Return the names of the processes that may claim a job."""
        regions = self._regions.find_holder_regions(job)
        members = self._directory.members_by_name
        return [
            name
            for name in self._directory.get_names(registry.Role.BATCH)
            if eligibility.is_region_allowed(members[name].region, regions)
        ]

    def _close_cancelled(self, tasks: abc.TaskGroup) -> None:
        """Close cancelled jobs for which this member is the preferred owner."""
        members = self._directory.get_names(registry.Role.BATCH)
        for name in list(self._cancelled_jobs - self._closed_jobs):
            order = rendezvous.rank_members(name, members)
            if order and order[0] == self._member.name:
                self._closed_jobs.add(name)
                tasks.start_soon(self._close_job, name)

    async def _close_job(self, name: str) -> None:
        job = urllib.parse.unquote(name)
        closing = base.Transaction((), ownership.build_closing_changes(job))
        while isinstance(await self._store.commit(closing), result.Failure):
            await anyio.sleep(STORE_RETRY_DELAY_S)

    def _cache_job(self, name: str, owned: ownership.OwnedJob) -> None:
        """Cache a closed job's results for readers; evicts the oldest jobs."""
        if not owned.has_committed:
            owned.release_memory()
            return
        previous = self._cached_by_id.pop(name, None)
        if previous is not None:
            previous.release_memory()
        self._cached_by_id[name] = owned
        size = sum(
            records.count_memory(cached.committed)
            for cached in self._cached_by_id.values()
        )
        while size > MAX_CACHED_BYTES and len(self._cached_by_id) > 1:
            size -= records.count_memory(
                next(iter(self._cached_by_id.values())).committed
            )
            self._evict_cached_job()

    def _evict_cached_job(self) -> bool:
        """Drop the closed job that was cached first."""
        if not self._cached_by_id:
            return False
        dropped = self._cached_by_id.pop(next(iter(self._cached_by_id)))
        dropped.release_memory()
        return True

    def _is_stale_claim(self, claim: base.Record) -> bool:
        """Return whether a claim keeps an untracked job from being claimed.

        That is so for a claim that names nobody and for one of this instance.

        The latter was made by an earlier process of this instance whose
        lease has not expired yet, or by this process before it dropped the
        job. No other process would claim the job.
        """
        parsed = ownership.parse_claim(claim.value)
        return parsed is None or parsed[0] == self._member.name

    async def _run_job(self, name: str, owned: ownership.OwnedJob) -> None:
        """Claim a job and commit its results until it is closed or lost."""
        try:
            while owned.is_open() and not owned.is_stopped:
                regions = self._regions.find_holder_regions(owned.job)
                try:
                    with relay_regions.restrict(regions):
                        await self._advance_job(name, owned)
                except ownership.StoreFailedError as error:
                    logs.log_message(
                        "job store call failed", job=name, reason=str(error)
                    )
                    await anyio.sleep(STORE_RETRY_DELAY_S)
                except ownership.OwnershipLostError:
                    raise
                except Exception:
                    # An error in one job must not stop the other jobs.
                    logs.log_exception("job failed", job=name)
                    await anyio.sleep(STORE_RETRY_DELAY_S)
        except ownership.OwnershipLostError as error:
            logs.log_message("job ownership lost", job=name, reason=str(error))
            # If the job is still open, it can be claimed again.
            self._reload_job(name)
            self._cancel_runs(owned)
        finally:
            if self._owned_by_id.get(name) is owned:
                del self._owned_by_id[name]
            self._unclaimed_since_by_job.pop(name, None)
            self._wait_reasons_by_job.pop(owned.id, None)
            if owned.is_open():
                owned.release_memory()
        if not owned.is_open():
            self._closed_jobs.add(name)
            self._cache_job(name, owned)

    async def _advance_job(self, name: str, owned: ownership.OwnedJob) -> None:
        """Claim and load a job if needed; commit its results.

        Raises:
            ownership.OwnershipLostError: Another process holds the claim.
            ownership.StoreFailedError: A store call failed.
        """
        if not self._regions.may_hold(owned.job):
            await self._give_up(name, owned)
            return
        if not owned.is_claimed():
            await self._claim(owned)
        if not owned.is_loaded():
            async with self._loading:
                await owned.load()
            logs.log_message(
                "job claimed",
                job=name,
                left=len(owned.waiting),
                total=owned.job.total,
            )
        await self._commit_results(owned)

    async def _give_up(self, name: str, owned: ownership.OwnedJob) -> None:
        """Leave a job that this process may no longer hold to another one.

        What its items have completed is committed first.

        Raises:
            ownership.OwnershipLostError: Another process holds the claim.
            ownership.StoreFailedError: A store call failed; call again.
        """
        self._cancel_runs(owned)
        if owned.is_claimed():
            if owned.has_uncommitted():
                await owned.commit()
                return
            release = await self._store.commit(owned.build_release())
            if isinstance(release, result.Failure):
                raise ownership.StoreFailedError(release.failure().message)
        logs.log_message("job given up", job=name, reason="region")
        owned.is_stopped = True

    def _reload_job(self, name: str) -> None:
        """Restore a job's open state from the mirror."""
        self._jobs_by_id.pop(name, None)
        record = self._open_mirror.records_by_key.get(
            f"{records.OPEN_JOBS}{name}"
        )
        if record is not None:
            self._open_job(name, record.value, record.revision)

    async def _claim(self, owned: ownership.OwnedJob) -> None:
        """Claim a job.

        Raises:
            ownership.OwnershipLostError: Another process holds the claim.
            ownership.StoreFailedError: There is no lease, or the store call
                failed.
        """
        lease = self._registration.lease
        if not lease:
            raise ownership.StoreFailedError("no lease")
        member = self._member
        if not await owned.claim(member.name, member.incarnation, lease):
            raise ownership.OwnershipLostError(
                "another process holds the claim"
            )
        self._lease = self._registration.lease
        if lease != self._lease:
            owned.mark_claim_expired()

    async def _commit_results(self, owned: ownership.OwnedJob) -> None:
        """Wait for results and commit them in groups."""
        owned.expire_items()
        if not owned.has_uncommitted():
            await anyio.sleep(POLL_INTERVAL_S)
            return
        if not owned.is_finished():
            await anyio.sleep(GROUP_COMMIT_DELAY_S)
        if owned.is_claimed():
            await owned.commit()

    def _cancel_runs(self, owned: ownership.OwnedJob) -> None:
        for run in self._runs:
            if run.owned is owned:
                run.cancel_scope.cancel()

    def _start_items(self, tasks: abc.TaskGroup) -> None:
        """Start waiting items, in order of rank, at endpoints with room."""
        if self._lacks_output_memory:
            return
        waiting = self._rank_waiting()
        now = deadlines.now()
        self._next_start_by_endpoint = {
            name: next_at
            for name, next_at in self._next_start_by_endpoint.items()
            if next_at > now
        }

        def can_use(endpoint: catalog.Endpoint) -> bool:
            return endpoint.id not in self._next_start_by_endpoint

        full: set[tuple[str, frozenset[str] | None]] = set()
        too_large = sys.maxsize
        for owned, progress in waiting:
            if len(self._runs) >= MAX_RUNNING_ITEMS:
                return
            # Its body may have given way for an item before.
            is_held = progress.is_loaded
            if not is_held or len(progress.item.body) >= too_large:
                continue
            route = self._find_route(owned, progress)
            if route is None:
                continue
            regions = self._regions.find_endpoint_regions(owned.job)
            service = splits.choose_service(
                route,
                splits.compute_draw(progress.item.id),
                functools.partial(
                    self._placement.has_endpoints, regions=regions
                ),
            )
            if (service, regions) in full:
                continue
            endpoint = scheduling.choose_endpoint(
                self._placement,
                self._loads,
                service,
                can_use=can_use,
                avoid=progress.failed_endpoints,
                regions=regions,
            )
            if endpoint is None:
                self._explain_wait(owned, service, regions)
                if not progress.failed_endpoints:
                    full.add((service, regions))
                continue
            if not self._try_hold_request(owned, progress):
                too_large = len(progress.item.body)
                continue
            self._next_start_by_endpoint[endpoint.id] = now + (
                scheduling.PREFERRED_START_INTERVAL_S
                if self._is_preferred(endpoint)
                else scheduling.OTHER_START_INTERVAL_S
            )
            self._start_item(tasks, owned, progress, endpoint, route)

    def _explain_wait(
        self,
        owned: ownership.OwnedJob,
        service: str,
        regions: frozenset[str] | None,
    ) -> None:
        """Log and count why no endpoint may run a job's items, on a change."""
        if self._placement.has_endpoints(service, regions):
            return
        absence = self._placement.explain_absence(service, regions)
        reason = "" if absence is None else absence.value
        if self._wait_reasons_by_job.get(owned.id) == reason:
            return
        self._wait_reasons_by_job[owned.id] = reason
        logs.log_message(
            "items wait", job=owned.id, service=service, reason=reason
        )
        if reason:
            self._metrics.count_ineligible(reason)

    def _load_bodies(self, tasks: abc.TaskGroup) -> None:
        """Read the bodies of the most urgent items that lack them."""
        found = None if self._is_loading_part else self._find_unloaded()
        if found is None:
            return
        owned, part = found
        if not self._make_room(lambda: owned.try_hold_part(part), owned):
            return
        self._is_loading_part = True
        tasks.start_soon(self._load_part, owned, part)

    def _make_room(
        self, try_charge: Callable[[], bool], owned: ownership.OwnedJob
    ) -> bool:
        """Charge something for a job; what is less urgent gives way."""
        while not try_charge():
            if not self._evict_cached_job() and not self._unload_items(owned):
                return False
        return True

    def _find_unloaded(self) -> tuple[ownership.OwnedJob, int] | None:
        """Return the most urgent job that has items without their bodies.

        Also returns the value that holds the first of them that can start.
        """
        owned_jobs = [
            owned
            for owned in self._owned_by_id.values()
            if owned.is_claimed() and self._regions.may_hold(owned.job)
        ]
        owned_jobs.sort(key=lambda owned: owned.job.due)
        for owned in owned_jobs:
            part = owned.find_unloaded_part(self._can_start)
            if part is not None:
                return owned, part
        return None

    async def _load_part(self, owned: ownership.OwnedJob, part: int) -> None:
        regions = self._regions.find_holder_regions(owned.job)
        try:
            with relay_regions.restrict(regions):
                await owned.load_part(part)
        except ownership.StoreFailedError as error:
            logs.log_message(
                "job store call failed", job=owned.id, reason=str(error)
            )
            await anyio.sleep(STORE_RETRY_DELAY_S)
        finally:
            self._is_loading_part = False

    def _unload_items(self, urgent: ownership.OwnedJob | None = None) -> bool:
        """Drop the bodies of items of one value; returns whether it did.

        Items that can't start now come first, then those of the jobs due last.

        Args:
            urgent: A job for which no job that is due before gives way.
        """
        candidates = [
            (not self._can_start(progress), owned.job.due, owned, progress)
            for owned in self._owned_by_id.values()
            for progress in owned.waiting
            if progress.is_loaded
        ]
        if urgent is not None:
            candidates = [
                one for one in candidates if one[0] or one[1] > urgent.job.due
            ]
        if not candidates:
            return False
        must_wait, _, owned, progress = max(candidates, key=lambda one: one[:2])
        owned.unload_part(
            progress.part, lambda one: not (must_wait and self._can_start(one))
        )
        return True

    def _evict_committed(self) -> bool:
        """Drop the results of the open job that keeps most for readers."""
        kept = [one for one in self._owned_by_id.values() if one.committed]
        if not kept:
            return False
        sizes = [records.count_memory(one.committed) for one in kept]
        kept[sizes.index(max(sizes))].drop_committed()
        return True

    def _can_start(self, progress: items.Progress) -> bool:
        return self._can_retry(progress) and not self._is_held_back(progress)

    def _is_preferred(self, endpoint: catalog.Endpoint) -> bool:
        """Return whether this process is the preferred one for an endpoint.

        Among the batch processes in the endpoint's availability zone it is the
        first by rendezvous hashing.
        """
        members = self._directory.members_by_name
        near = [
            name
            for name in self._directory.get_names(registry.Role.BATCH)
            if members[name].zone == endpoint.zone
        ]
        order = rendezvous.rank_members(endpoint.id, near)
        return bool(order) and order[0] == self._member.name

    def _rank_waiting(
        self,
    ) -> list[tuple[ownership.OwnedJob, items.Progress]]:
        """Return the items that can start, in order of rank."""
        now = time.time()
        ranked = [
            (
                scheduling.rank_item(
                    owned.job.due,
                    self._run_time_estimator.estimate_remaining(
                        progress.run_time_s
                    ),
                    now,
                ),
                # Items with the longest run time complete soonest.
                -progress.run_time_s,
                owned,
                progress,
            )
            for owned in self._owned_by_id.values()
            if owned.is_claimed() and self._regions.may_hold(owned.job)
            for progress in owned.waiting
            if progress.is_loaded and self._can_start(progress)
        ]
        ranked.sort(key=lambda one: one[:2])
        return [(owned, progress) for _, _, owned, progress in ranked]

    def _can_retry(self, progress: items.Progress) -> bool:
        until = self._paused_until_by_item.get(progress.item.id)
        if until is None or deadlines.is_past(until):
            self._paused_until_by_item.pop(progress.item.id, None)
            return True
        return False

    def _is_held_back(self, progress: items.Progress) -> bool:
        """Return whether an item would crash the endpoint that runs it.

        The item waits until the quarantine or its retention ends.
        """
        parts = self._get_prompt_parts(progress)
        return self._quarantine.find_quarantined(parts) is not None

    def _get_prompt_parts(self, progress: items.Progress) -> tuple[str, ...]:
        if progress.prompt_parts is None and not progress.is_loaded:
            return ()
        if progress.prompt_parts is None:
            progress.prompt_parts = items.read_prompt_parts(
                self._dialect, progress.item
            )
        return progress.prompt_parts

    def _find_route(
        self, owned: ownership.OwnedJob, progress: items.Progress
    ) -> catalog.Route | None:
        """Return the route of an item's job; else make the item a dead letter.

        Returns None without doing so while this process's configuration is
        older than the one by which the job was accepted.
        """
        current = self._read_catalog()
        if not current.version or (current.version < owned.job.config_version):
            return None
        route = current.find_route(owned.job.host, owned.job.path)
        if route is None:
            owned.waiting.remove(progress)
            owned.record_result(progress, records.DEAD_LETTER, "no route")
        return route

    def _try_hold_request(
        self, owned: ownership.OwnedJob, progress: items.Progress
    ) -> bool:
        """Take a waiting item, with memory for its request."""
        size = len(progress.item.body)
        # Bodies of waiting items give way, but not its own.
        position = owned.waiting.index(progress)
        del owned.waiting[position]
        if self._make_room(lambda: self._sent_account.try_keep(size), owned):
            return True
        owned.waiting.insert(position, progress)
        return False

    def _start_item(
        self,
        tasks: abc.TaskGroup,
        owned: ownership.OwnedJob,
        progress: items.Progress,
        endpoint: catalog.Endpoint,
        route: catalog.Route,
    ) -> None:
        owned.running[progress.item.id] = progress
        self._wait_reasons_by_job.pop(owned.id, None)
        self._placement.record_sending(endpoint)
        run = _Run(
            owned, progress, endpoint, anyio.CancelScope(), deadlines.now()
        )
        self._runs.append(run)
        tracking = self._loads.track(endpoint.id, outcomes.RequestClass.BATCH)
        tracking.__enter__()
        tasks.start_soon(self._run_item, run, tracking, route)

    async def _run_item(
        self, run: _Run, tracking: object, route: catalog.Route
    ) -> None:
        outcome = items.Outcome.BROKEN
        reason = "stopped"
        first_event = run.progress.last_event
        deadline = items.compute_deadline(run.owned.job.kept_until, time.time())
        try:
            with (
                run.cancel_scope,
                self._placement.track_activity(
                    run.endpoint.id
                ) as record_activity,
            ):
                outcome, reason = await items.run(
                    self._pool,
                    self._dialect,
                    run.endpoint,
                    run.owned.job.host,
                    run.owned.job.workspace,
                    deadline,
                    run.progress,
                    record_activity,
                    self._placement.endpoint_limits,
                    self._placement.draining,
                )
                if outcome is items.Outcome.BROKEN:
                    await self._check_endpoint(
                        run, has_output=run.progress.last_event != first_event
                    )
        except Exception:
            # An error in one item must not stop the other items.
            reason = "internal error"
            logs.log_exception("internal error", id=run.progress.item.id)
        finally:
            tracking.__exit__(None, None, None)  # type: ignore[attr-defined]
            self._runs.remove(run)
            self._sent_account.shrink(len(run.progress.item.body))
            run.owned.running.pop(run.progress.item.id, None)
        self._handle_outcome(run, outcome, reason, route)

    async def _check_endpoint(self, run: _Run, *, has_output: bool) -> None:
        """Record whether the endpoint that broke off a run has ended."""
        progress = run.progress
        has_ended = await lost_attempts.check_endpoint(
            run.endpoint,
            quarantine_lib.Run(
                progress.item.id,
                self._get_prompt_parts(progress),
                run.started_at,
                has_output,
            ),
            self._quarantine,
            self._metrics,
        )
        if has_ended:
            self._placement.endpoint_limits.record_unreachable(
                run.endpoint, has_ended=True
            )
        if has_output:
            progress.ended_endpoints = 0
        elif has_ended:
            progress.ended_endpoints += 1

    def _handle_outcome(
        self,
        run: _Run,
        outcome: items.Outcome,
        reason: str,
        route: catalog.Route,
    ) -> None:
        """Record an item's result, or queue the item for another run."""
        progress = run.progress
        progress.run_time_s += deadlines.now() - run.started_at
        is_cancelled = run.cancel_scope.cancel_called
        logs.log_message(
            "item run ended",
            job=run.owned.id,
            id=progress.item.id,
            endpoint=run.endpoint.id,
            result="gave way" if run.is_preempted else outcome.value,
            reason=reason,
            last_event=progress.last_event,
            took_ms=round((deadlines.now() - run.started_at) * 1000),
            limit_per_s=self._placement.endpoint_limits.get_limit(
                run.endpoint.id
            ),
            draining_ms=self._placement.draining.get_age_ms(run.endpoint),
        )
        self._metrics.count_run(
            "gave way" if run.is_preempted else outcome.value
        )
        if run.owned.is_stopped:
            return
        if outcome is items.Outcome.COMPLETE:
            self._placement.record_success(run.endpoint)
            self._quarantine.record_answer(self._get_prompt_parts(progress))
            self._run_time_estimator.observe(progress.run_time_s)
            self._metrics.observe_item(records.COMPLETED, progress.run_time_s)
            run.owned.record_result(progress, records.COMPLETED, reason)
            return
        if outcome is items.Outcome.IMPOSSIBLE:
            run.owned.record_result(progress, records.DEAD_LETTER, reason)
            return
        if outcome is items.Outcome.FAILED:
            progress.failures += 1
            progress.failed_endpoints.add(run.endpoint.id)
            if progress.failures == 1:
                # Later failures are more likely caused by the item than by the
                # endpoint.
                self._placement.record_error(run.endpoint)
            if progress.failures >= route.max_attempts:
                run.owned.record_result(progress, records.DEAD_LETTER, reason)
                return
        if outcome is items.Outcome.NOT_RUN:
            self._placement.record_error(run.endpoint)
        if not is_cancelled and outcome is not items.Outcome.WITHDRAWN:
            self._paused_until_by_item[progress.item.id] = deadlines.after(
                scheduling.compute_retry_delay(progress.ended_endpoints)
            )
            if outcome in {items.Outcome.NOT_SENT, items.Outcome.BROKEN}:
                self._placement.record_unreachable(run.endpoint)
            if progress.oversized_runs >= route.max_attempts:
                # Becomes a dead letter when its retention ends.
                self._paused_until_by_item[progress.item.id] = deadlines.NEVER
        if run.is_discarded:
            progress.discard_output()
        run.owned.waiting.insert(0, progress)

    def _charge_outputs(self) -> None:
        """Charge the outputs that are not committed.

        While there is no room for them, no item starts, and the output of
        items that can run again is dropped.
        """
        size = sum(
            owned.measure_outputs() for owned in self._owned_by_id.values()
        ) + sum(
            run.progress.output_bytes
            for run in self._runs
            if not run.is_discarded
        )
        missing = size - self._outputs_account.held_bytes
        self._outputs_account.shrink(max(0, -missing))
        lacks_memory = missing > 0 and not self._try_hold_outputs(missing)
        if lacks_memory:
            self._discard_outputs(missing)
        if lacks_memory != self._lacks_output_memory:
            self._lacks_output_memory = lacks_memory
            logs.log_message(
                "items held back" if lacks_memory else "items resumed",
                reason="memory",
                outputs_bytes=size,
                running=len(self._runs),
            )

    def _try_hold_outputs(self, size: int) -> bool:
        """Charge outputs; what can be read again gives way."""
        while not self._outputs_account.try_keep(size):
            if not (
                self._evict_cached_job()
                or self._evict_committed()
                or self._unload_items()
            ):
                return False
        return True

    def _discard_outputs(self, size: int) -> None:
        """Drop partial outputs, first of waiting items, then of running ones.

        The item that has run longest goes on.
        """
        partial = [
            (owned.job.due, progress)
            for owned in self._owned_by_id.values()
            for progress in owned.waiting
            if progress.output_bytes
        ]
        partial.sort(key=lambda one: one[0])
        while partial and size > 0:
            _, progress = partial.pop()
            size -= progress.output_bytes
            progress.discard_output()
        runs = sorted(self._runs, key=lambda run: run.started_at)[1:]
        while runs and size > 0:
            run = runs.pop()
            if not run.is_discarded and run.progress.output_bytes:
                size -= run.progress.output_bytes
                run.is_discarded = run.is_preempted = True
                run.cancel_scope.cancel()

    def handle_report(self, report: reports_lib.Report) -> None:
        """Note whether online requests are reported."""
        self._has_online_reports |= bool(report.online_by_endpoint)

    def finish_batch(self) -> None:
        """Preempt items at once when online requests were reported."""
        if self._has_online_reports:
            self._has_online_reports = False
            self._preempt_items()

    def _preempt_items(self) -> None:
        """Preempt items at endpoints whose load exceeds their slots."""
        by_endpoint: dict[str, list[_Run]] = {}
        for run in self._runs:
            by_endpoint.setdefault(run.endpoint.id, []).append(run)
        for runs in by_endpoint.values():
            endpoint = runs[0].endpoint
            excess = scheduling.count_excess(self._loads, endpoint)
            if not excess:
                continue
            excess = self._count_own_share(endpoint.id, excess, len(runs))
            stopping = sum(run.is_preempted for run in runs)
            # The most recently started runs lose the least work.
            runs.sort(key=lambda run: run.started_at, reverse=True)
            for run in runs:
                if stopping >= excess:
                    break
                if not run.is_preempted:
                    run.is_preempted = True
                    run.cancel_scope.cancel()
                    stopping += 1

    def _count_own_share(self, endpoint: str, excess: int, own: int) -> int:
        """Return how many of the preempted items this process must stop."""

        def compute_rank(name: str) -> int:
            return rendezvous.compute_weight(name, endpoint)

        return scheduling.count_own_share(
            excess,
            own,
            self._loads.get_batch_counts_by_peer(endpoint),
            compute_rank(self._member.name),
            compute_rank,
        )

    async def drain(self, until: float) -> None:
        """Start no more items; wait for running ones until `until`.

        Items that are still running then are cancelled.
        """
        self.is_draining = True
        while not deadlines.is_past(until):
            if not self._runs and not self.count_uncommitted():
                break
            await anyio.sleep(POLL_INTERVAL_S)
        if self._runs:
            logs.log_message("drain timed out", running=len(self._runs))
        for run in self._runs:
            run.cancel_scope.cancel()

    async def release_claims(self) -> None:
        """Release all claims, so that others can claim the jobs at once."""
        for name, owned in list(self._owned_by_id.items()):
            self._owned_by_id.pop(name, None)
            owned.is_stopped = True
            if not owned.is_claimed():
                continue
            release = owned.build_release()
            answer = await self._store.commit(release)
            if isinstance(answer, result.Failure):
                # The claim expires with the lease.
                logs.log_message(
                    "claim release failed",
                    job=name,
                    reason=answer.failure().message,
                )


def _split_key(key: str) -> tuple[str, str]:
    for kind in (records.OPEN_JOBS, records.CANCELLATIONS, records.CLAIMS):
        if key.startswith(kind):
            return kind, key.removeprefix(kind)
    return "", ""


def create_owner(
    store: base.Store,
    open_mirror: mirror.Mirror,
    member: registry.Member,
    directory: registry.Directory,
    registration: registry.Registration,
    dialect: calls.Dialect,
    pool: upstream.Pool,
    placement: placement_lib.Placement,
    load_table: loads.Loads,
    quarantine: quarantine_lib.Quarantine,
    read_catalog: Callable[[], catalog.Catalog],
    metrics: metrics_lib.Metrics,
    budget: memory_budget.Budget,
) -> Owner:
    """Create an owner.

    Args:
        store: The store.
        open_mirror: A mirror of `records.OPEN`.
        member: This process.
        directory: The registered processes.
        registration: This process's lease, to which its claims are bound.
        dialect: Wire format of requests and responses.
        pool: Connection pool for endpoints.
        placement: The known endpoints and their health.
        load_table: Requests in flight by endpoint.
        quarantine: Tells which items would crash endpoints.
        read_catalog: Returns the current configuration.
        metrics: Receives counts and run times of items.
        budget: The memory budget of the process.
    """
    return Owner(
        store,
        open_mirror,
        member,
        directory,
        registration,
        dialect,
        pool,
        placement,
        load_table,
        quarantine,
        read_catalog,
        metrics,
        budget,
    )
