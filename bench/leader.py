"""Measures the cost of a leader's decisions: `python -m bench.leader`.

Usage: python -m bench.leader [SECONDS] [SEED]

Each cluster is simulated twice from the same seed: without a profiler for the
processor time, and with one for the proportions. Sockets, threads, the store
and the log writer are omitted.
"""

import cProfile
import sys
from types import MappingProxyType
from typing import Final

from bench.leader_parts import Parts, ProfiledParts
from bench.leader_replay import Outcome, Shape, play

WORKERS: Final = 246
SETTLE_S: Final = 5
DEFAULT_S: Final = 10
DEFAULT_SEED: Final = 16
DEAREST: Final = 18
NS_PER_US: Final = 1000
NS_PER_MS: Final = 1_000_000

SITES: Final = MappingProxyType(
    {'much waiting work': (60, 100, 150), 'little waiting work': (20, 15, 0)}
)
"""Milliseconds between plans, and the long-running and best-effort jobs that
a cluster has at the start."""

SHARES: Final = MappingProxyType(
    {
        'plan': ('scheduler_service.py:plan',),
        '- startable steps': ('scheduler.py:_free_steps',),
        '- ordering': (
            'step_ordering.py:sort_steps',
            'step_ordering.py:overdue_steps',
        ),
        '- placing': ('scheduler.py:_place_step',),
        '- - harm': ('interference_risk.py:is_interference_excessive',),
        '- moves': ('scheduler.py:plan_migrations',),
        'looks': ('worker_client.py:poll', 'scheduler_service.py:on_listing'),
        '- parsing': ('worker_client.py:poll',),
        '- rows': ('run_tracker.py:_note_rows',),
        '- learn and pace': ('pacing.py:update_model', 'pacing.py:pace_orders'),
        'starts': ('leader_replay.py:_send_start',),
        'saves': ('leader_replay.py:_save',),
    }
)
"""Functions whose cumulative profiled time counts as a component."""


def main() -> None:
    """Simulate both clusters and print the figures."""
    seconds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_S
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_SEED
    for name, (gap_ms, long_running, best_effort) in SITES.items():
        shape = Shape(
            gap_ms, WORKERS, long_running, best_effort, SETTLE_S, seconds, seed
        )
        measure(name, shape)


def measure(name: str, shape: Shape) -> None:
    """Simulate one cluster and print the cost of its components."""
    parts = Parts()
    outcome = play(shape, parts)
    _print_outcome(name, shape, outcome)
    _print_parts(parts, outcome, shape.measured_s)
    profile = cProfile.Profile()
    play(shape, Parts(profile))
    _print_profile(ProfiledParts(profile))


def _print_outcome(name: str, shape: Shape, outcome: Outcome) -> None:
    waiting = sum(outcome.waiting_tasks) // max(1, len(outcome.waiting_tasks))
    print(
        f'{name}: {shape.workers} workers, {shape.measured_s} s, '
        f'seed {shape.seed}'
    )
    print(
        f'{outcome.plans} plans, {outcome.looks} looks, '
        f'{outcome.starts} starts, {waiting} tasks wait on average'
    )
    print(f'orders and records: {outcome.digest}')


def _print_parts(parts: Parts, outcome: Outcome, seconds: int) -> None:
    total_ns = sum(parts.spent_ns.values())
    print(f'{"part":>12}   share   cores  us a call  calls')
    for name, spent_ns in parts.spent_ns.most_common():
        calls = parts.calls[name]
        print(
            f'{name:>12}  {spent_ns / total_ns:6.1%}  '
            f'{spent_ns / NS_PER_MS / seconds / 1000:6.3f}  '
            f'{spent_ns / calls / NS_PER_US:9.1f}  {calls}'
        )
    print(
        f'{"all":>12}          {total_ns / NS_PER_MS / seconds / 1000:6.3f}  '
        f'{total_ns / max(1, outcome.starts) / NS_PER_US:9.1f} us a start, '
        f'{total_ns / max(1, outcome.looks) / NS_PER_US:.1f} us a look'
    )


def _print_profile(profiled: ProfiledParts) -> None:
    print('under a profile, shares of all:')
    for name, functions in SHARES.items():
        print(f'  {name:<20} {profiled.share(*functions):6.1%}')
    for name, calls, share in profiled.dearest(DEAREST):
        print(f'  {share:6.1%} {calls:9} {name}')


if __name__ == '__main__':
    main()
