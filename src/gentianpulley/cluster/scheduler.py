"""The scheduler of one leader: places waiting tasks.

It makes decisions and does no I/O: callers hold one lock around every call,
report what they have observed, and send the orders that it returns. The base
classes track the state, the workers' incarnations and the runs.
"""

from collections.abc import Iterable
from dataclasses import replace
from itertools import filterfalse
from typing import Final

from gentianpulley.cluster.advice import AdviceQuery, query_for
from gentianpulley.cluster.capacity_holds import CapacityHolds
from gentianpulley.cluster.ceiling_waits import record_ceiling_wait
from gentianpulley.cluster.customer_shares import in_share_order
from gentianpulley.cluster.image_separation import ImageSeparation
from gentianpulley.cluster.link_starvation import link_starved_steps
from gentianpulley.cluster.load_meter import LoadMeter
from gentianpulley.cluster.load_tracker import LoadTracker
from gentianpulley.cluster.unplaceable_shapes import UnplaceableShapes
from gentianpulley.cluster.worker_protocol import RunKey, StartOrder, StopOrder
from gentianpulley.cluster.migration import plan_migrations
from gentianpulley.cluster.schedulable_workers import SchedulableWorkers
from gentianpulley.cluster.step_ordering import (
    FirstStartLimiter,
    WorkKind,
    sort_steps,
    overdue_steps,
    sort_tasks,
)
from gentianpulley.cluster.task_placement import (
    RankedWorkers,
    PlaceableWorkers,
    PlacementContext,
    is_busy,
    is_starving,
    feasible_workers,
    placeable_workers,
)
from gentianpulley.cluster.plan_report import (
    PlanReport,
    create_plan_report,
)
from gentianpulley.cluster.scheduler_state import LeaderTerm
from gentianpulley.cluster.start_limiter import create_start_limiter
from gentianpulley.cluster.wait_reasons import WaitReason, WaitingSteps
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import Job, StepRun, Task
from gentianpulley.logs import EventLog

MIGRATION_INTERVAL_MS: Final = 200
"""Minimum time between two searches for tasks to migrate. The reports that the
searches depend on come every half second."""

RUN_NUMBER_BITS: Final = 16
"""Bits that number the runs of one task under one leader. The leader's token
fills the bits above them, so that run numbers increase from leader to leader
without a write."""


class Scheduler(LoadTracker):
    """State and decisions of one leader."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start empty, without jobs or workers."""
        super().__init__(term, log)
        self._first_run = term.token << RUN_NUMBER_BITS
        self._next_migrations_ms = 0
        self._first_starts = FirstStartLimiter()
        self._waits = WaitingSteps()
        self.load_meter = LoadMeter(
            self._waits, self.ended_work, self._delay_costs
        )
        self._unplaceable = UnplaceableShapes()
        self._holds = CapacityHolds()
        self._separation = ImageSeparation()
        self._start_limiter = create_start_limiter(term.link_bytes_s)

    def plan(self, now_ms: int) -> list[StartOrder]:
        """Place waiting tasks and return the starts to be sent.

        Places no more than the leader's link can carry; other tasks keep
        waiting.
        """
        self.evict_ended_jobs(now_ms)
        self._start_limiter.remove_answered(self.workers, now_ms)
        view = self._view(now_ms)
        orders: list[StartOrder] = []
        self._unplaceable.begin_plan(view)
        self._waits.begin_plan(now_ms)
        steps = self._free_steps(now_ms)
        overdue = overdue_steps(steps, now_ms)
        for step in overdue:
            restarts = step.overdue_restarts(now_ms)
            orders.extend(self._try_step(step, restarts, view))
        self._renew_holds(overdue, view)
        if self._start_limiter.has_capacity:
            orders.extend(self._place_others(steps, view))
        else:
            # Sorting takes most of a plan, and nothing could be placed.
            self._waits.record_all(steps, WaitReason.LINK_SATURATED)
        return orders

    def create_report(self, now_ms: int) -> PlanReport:
        """Return a report on the state after the latest plan."""
        report = create_plan_report(
            self, self._waits, len(self._holds.worker_ids), now_ms
        )
        return replace(report, separation=self._separation.latest())

    def plan_migrations(self, now_ms: int) -> list[StopOrder]:
        """Return the stops of tasks that should migrate to other workers."""
        if now_ms < self._next_migrations_ms:
            return []
        self._next_migrations_ms = now_ms + MIGRATION_INTERVAL_MS
        return plan_migrations(self, self._view(now_ms), self.usage)

    def next_advice_query(self, now_ms: int) -> AdviceQuery | None:
        """Return the next query to the advice service, None if none is due."""
        if not any(map(_is_advised, self.live_jobs.values())):
            return None
        advised = [
            step for step in self._free_steps(now_ms) if _is_advised(step.job)
        ]
        if not advised:
            return None
        view = self._view(now_ms)
        overdue = overdue_steps(advised, now_ms)
        for step in (*overdue, *sort_steps(advised, now_ms, self._delay_costs)):
            if not self.usage.allows(step):
                continue
            allowed = feasible_workers(step, view)
            query = query_for(step, allowed, self.tickets, now_ms)
            if query is not None:
                return query
        return None

    def _renew_holds(
        self, overdue: list[StepRun], view: PlacementContext
    ) -> None:
        """Hold workers for overdue restarts that have found no capacity.

        None is held for a restart that waits for the ceiling of its customer.
        """
        for worker in self._holds.renew(
            filter(self.usage.allows, overdue),
            PlaceableWorkers(view),
            view.now_ms,
        ):
            self._unplaceable.mark_worker_changed(worker)

    def _place_others(
        self, steps: list[StepRun], view: PlacementContext
    ) -> list[StartOrder]:
        """Place everything but overdue restarts, in order of priority."""
        others = [
            step for step in steps if not step.overdue_restarts(view.now_ms)
        ]
        orders = self._place_overdue_first_start(others, view)
        for starved in link_starved_steps(others, self._waits, view):
            first = {min(starved.waiting)}
            orders.extend(self._try_step(starved, first, view))
        groups = sort_tasks(others, view.now_ms, self._delay_costs)
        for group in in_share_order(groups, self.usage, view.now_ms):
            step = group.step
            if group.kind is WorkKind.FIRST_START and step.waiting_restarts:
                # Its restarts have just found no capacity of the same size.
                continue
            indexes = group.indexes & step.waiting
            if indexes:
                orders.extend(self._try_step(step, indexes, view))
        return orders

    def _view(self, now_ms: int) -> PlacementContext:
        workers = self.workers.values()
        usable = SchedulableWorkers(workers, self.closed_domains, now_ms)
        self._separation.begin_plan(usable, self._waits.reasons, now_ms)
        return PlacementContext(
            usable,
            now_ms,
            self.interference,
            self.tickets,
            is_busy(workers),
            self._holds,
            self._separation,
        )

    def _free_steps(self, now_ms: int) -> list[StepRun]:
        """Return the steps that this leader may start now."""
        self.count_unseen_tasks(now_ms)
        self._arrival_rates.mark_excess(self.usage, self.log)
        steps = self.ready_steps(now_ms)
        if self.is_handover_complete(now_ms):
            return steps
        for candidate in steps:
            if candidate.job.is_inherited:
                self._waits.record(candidate, WaitReason.INHERITED)
        return [step for step in steps if not step.job.is_inherited]

    def _place_overdue_first_start(
        self, steps: list[StepRun], view: PlacementContext
    ) -> list[StartOrder]:
        """Place one new long-running task whose first start is overdue.

        Restarts go before it, as it would not release their capacity.
        """
        eligible = self._first_starts.eligible_steps(steps, view.now_ms)
        if not eligible:
            return []
        orders: list[StartOrder] = []
        restarting = [step for step in steps if step.waiting_restarts]
        for waiter in sort_steps(restarting, view.now_ms, self._delay_costs):
            restarts = waiter.waiting_restarts
            orders.extend(self._try_step(waiter, restarts, view))
        for step in sort_steps(eligible, view.now_ms, self._delay_costs):
            overdue = step.overdue_first_starts(view.now_ms)
            started = self._try_step(step, overdue, view)
            if started:
                self._first_starts.record_start(view.now_ms)
                return orders + started
        return orders

    def _try_step(
        self,
        step: StepRun,
        indexes: set[int],
        view: PlacementContext,
    ) -> list[StartOrder]:
        """Place the given tasks of a step unless they are unplaceable.

        Every start goes through here, and so through the check of the ceiling.
        """
        if not self.usage.allows(step):
            record_ceiling_wait(step, self._waits, self.usage, self.log)
            return []
        if not self._start_limiter.has_capacity:
            self._waits.record(step, WaitReason.LINK_SATURATED)
            return []
        reason = self._unplaceable.wait_reason(step, view)
        if reason is not None and not is_starving(step, view):
            self._waits.record(step, reason)
            return []
        orders = self._place_step(step, indexes, view)
        is_tried = (
            self._start_limiter.has_capacity
            and self.usage.allows(step)
            and not _has_extra_constraints(step)
            and not step.has_suspects(indexes & step.waiting)
        )
        if is_tried and indexes & step.waiting:
            self._unplaceable.add(step, self._waits.reasons[step])
        return orders

    def _place_step(
        self, step: StepRun, indexes: set[int], view: PlacementContext
    ) -> list[StartOrder]:
        allowed = placeable_workers(step, view)
        ranked = RankedWorkers(allowed, step, view)
        if step.spec.is_gang:
            orders = self._place_gang(step, ranked, view)
        else:
            orders = self._place_each(step, indexes, ranked, view)
        is_waiting = bool(indexes & step.waiting)
        if is_waiting and not self.usage.allows(step):
            record_ceiling_wait(step, self._waits, self.usage, self.log)
        if is_waiting:
            reason = (
                ranked.wait_reason if allowed else _no_worker_reason(step, view)
            )
            is_tried = self._start_limiter.has_capacity
            self._waits.record(
                step, reason if is_tried else WaitReason.LINK_SATURATED
            )
        return orders

    def _place_each(
        self,
        step: StepRun,
        indexes: set[int],
        ranked: RankedWorkers,
        view: PlacementContext,
    ) -> list[StartOrder]:
        orders = []
        tasks = [step.tasks[index] for index in sorted(indexes)]
        for task in filterfalse(self.is_crash_unsaved, tasks):
            has_link = self._start_limiter.has_capacity
            if not has_link or not self.usage.allows(step):
                break
            worker = ranked.pop_best(task)
            if worker is None:
                # Another task may not need a worker without a trial.
                continue
            run = max(self._first_run, task.run + 1)
            orders.append(self._order_start(worker, step, task, run, view))
            ranked.reinsert()
        return orders

    def _place_gang(
        self, step: StepRun, ranked: RankedWorkers, view: PlacementContext
    ) -> list[StartOrder]:
        """Place all tasks of a gang under one run number, or none."""
        if len(step.waiting) < len(step.tasks):
            return []
        if any(map(self.is_crash_unsaved, step.tasks)):
            return []
        checkpoint = max(task.checkpoint for task in step.tasks)
        run = max(task.run for task in step.tasks) + 1
        orders: list[StartOrder] = []
        for task in step.tasks:
            worker = ranked.pop_best(task)
            if worker is None:
                self._withdraw_orders(step, orders)
                return []
            task.checkpoint = checkpoint
            orders.append(
                self._order_start(
                    worker, step, task, max(self._first_run, run), view
                )
            )
            ranked.reinsert()
        return orders

    def _withdraw_orders(
        self, step: StepRun, orders: Iterable[StartOrder]
    ) -> None:
        for order in orders:
            self.workers[order.worker_id].release(order.key)
            self._start_limiter.remove(order.key)
            step.requeue(step.tasks[order.key.task_id.ordinal])

    def _order_start(
        self,
        worker: Worker,
        step: StepRun,
        task: Task,
        run: int,
        view: PlacementContext,
    ) -> StartOrder:
        key = RunKey(task.task_id, run)
        worker.reserve(
            key, step.spec, view.now_ms, step.job.spec.customer
        ).latest_finish_ms = step.latest_finish_ms
        self.begin_trial(worker, step, key)
        self._unplaceable.mark_worker_changed(worker)
        self._holds.release(worker)
        step.place(task, worker.worker_id, run)
        order = StartOrder(
            worker.worker_id,
            key,
            step.job.spec.payload,
            task.checkpoint,
            view.ticket(step, worker),
        )
        self._start_limiter.add(order, view.now_ms)
        return order


def _no_worker_reason(step: StepRun, view: PlacementContext) -> WaitReason:
    """Return why a step has no eligible worker."""
    if feasible_workers(step, view):
        return WaitReason.TICKET
    return WaitReason.NO_WORKER


def _is_advised(job: Job) -> bool:
    return job.spec.policy.advice is not None


def _has_extra_constraints(step: StepRun) -> bool:
    """Return whether a step may wait for reasons other than its size."""
    spec = step.spec
    is_bound = bool(spec.max_per_worker) or spec.is_gang
    return is_bound or _is_advised(step.job)


def create_scheduler(term: LeaderTerm, log: EventLog) -> Scheduler:
    """Return a scheduler for one leader term."""
    return Scheduler(term, log)
