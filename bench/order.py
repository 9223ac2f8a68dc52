"""Compares orders of waiting work by replays: `python -m bench.order`.

Usage: python -m bench.order [SEEDS] [LOAD]

Baseline and changes are replayed in one run, on the same jobs.
"""

import os
import sys
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import product
from multiprocessing import Pool
from types import MappingProxyType
from typing import Final
from unittest.mock import patch

from bench.order_replay import LoadOutcome, play_load
from bench.order_work import Load
from gentianpulley.cluster.delay_cost import DelayCosts, deadline_class
from gentianpulley.cluster.step_ordering import WorkKind
from gentianpulley.jobs.job import StepRun

PROCESSES: Final = 3
DEFAULT_SEEDS: Final = 5
SERVING_SHARES: Final = (0.6, 0.7, 0.75, 0.8)
LONG_MS: Final = 15_000
SORT_KEY: Final = 'gentianpulley.cluster.step_ordering.sort_key'

_Case = tuple[str, Load]
_Result = tuple[str, Load, LoadOutcome]


def _earliest_objective(
    step: StepRun, kind: WorkKind, now_ms: int, costs: DelayCosts
) -> tuple[object, ...]:
    """Return the key of the former order."""
    return (
        step.job.spec.policy.priority,
        kind,
        deadline_class(step, now_ms),
        not step.spec.after,
        step.objective_ms,
    )


def _former(stack: ExitStack) -> None:
    stack.enter_context(patch(SORT_KEY, _earliest_objective))


def _unchanged(stack: ExitStack) -> None:
    """Replay what the source has."""


VARIANTS: Final = MappingProxyType[str, Callable[[ExitStack], None]](
    {
        'earliest objective': _former,
        'worth of work': _unchanged,
    }
)


def _loads(name: str, seeds: int) -> Iterator[Load]:
    for seed in range(1, seeds + 1):
        share = SERVING_SHARES[seed % len(SERVING_SHARES)]
        loads = (
            Load('best-effort', seed, True, serving_share=share),
            Load('reserved', seed, False, serving_share=share),
            Load(
                'long tasks',
                seed,
                False,
                serving_share=share,
                batch_ms=LONG_MS,
            ),
        )
        yield from (load for load in loads if name in load.name)


def _play(case: _Case) -> _Result:
    variant, load = case
    with ExitStack() as stack:
        VARIANTS[variant](stack)
        return variant, load, play_load(load)


def _discard_log() -> None:
    """Let a process of the pool write its log to nowhere."""
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def main() -> None:
    """Replay all loads and print a line for each load, variant and queue."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    name = sys.argv[2] if len(sys.argv) > 2 else ''
    cases = list(product(VARIANTS, _loads(name, seeds)))
    with Pool(PROCESSES, _discard_log) as pool:
        results = pool.map(_play, cases, chunksize=1)
    names = sorted({load.name for _, load in cases})
    for load_name, variant in product(names, VARIANTS):
        outcomes = [
            outcome
            for played, load, outcome in results
            if (load.name, played) == (load_name, variant)
        ]
        _print_outcomes(f'{load_name}, {variant}', outcomes)


def _print_outcomes(title: str, outcomes: list[LoadOutcome]) -> None:
    print(
        f'{title}: {sum(each.stopped for each in outcomes)} stopped, '
        f'{sum(each.lost_core_s for each in outcomes):.0f} core-s lost, '
        f'wide {max(each.longest_wide_ms for each in outcomes)} ms, '
        f'plan {max(each.plan_us for each in outcomes):.0f} us'
    )
    for name in outcomes[0].queues:
        queues = [each.queues[name] for each in outcomes]
        waits_ms = [wait for queue in queues for wait in queue.waits_ms]
        worths = [queue.worth / queue.owed for queue in queues]
        mean = sum(worths) / len(worths)
        print(
            f'  {name}: {sum(queue.jobs for queue in queues)} jobs, '
            f'{sum(queue.on_time for queue in queues)} on time, '
            f'{sum(queue.late for queue in queues)} late, '
            f'worth {mean:.3f} ({min(worths):.2f} to {max(worths):.2f}), '
            f'took {sum(waits_ms) // len(waits_ms)} ms'
        )


if __name__ == '__main__':
    main()
