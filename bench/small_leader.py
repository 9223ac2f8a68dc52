"""Measures the starts that a leader of a given size carries.

Usage: python -m bench.small_leader [SECONDS] [WORKERS] [PAYLOAD_BYTES]

Prints the bytes of a start and of a poll by part. Then an instance process
leads workers over loopback while more tasks wait than it can start, once for
each size: its link is a proxy with that bandwidth, and it is stopped whenever
it is ahead of its share of a processor.
"""

import sys
import time
from collections.abc import Iterable, Mapping
from contextlib import closing
from dataclasses import dataclass
from statistics import fmean
from typing import Any, Final

from bench.small_leader_site import BYTES_PER_MBIT, SmallLeaderSite
from bench.start_bytes import (
    HANDSHAKE_BYTES,
    CallBytes,
    poll_bytes,
    start_bytes,
)

LINKS_MBPS: Final = (2, 10, 200)
CORES: Final = (0.12, 0.5, 3)
DEFAULT_S: Final = 8
DEFAULT_WORKERS: Final = 72
DEFAULT_PAYLOAD_BYTES: Final = 2000
SETTLE_S: Final = 5
WAITING_TASKS: Final = 800
MEDIAN: Final = '0.5'
FULL: Final = 0.9
"""Used share of a resource above which it counts as what ends the rate."""


@dataclass(frozen=True)
class LeaderSize:
    """Bandwidth of the link, and processors of a leader."""

    link_mbps: float
    cores: float


@dataclass(frozen=True)
class StartRate:
    """What a leader carried: starts a second, and its use of resources.

    `link_share` and `cores` are used bandwidth and processors;
    `bytes_per_start` includes everything else that the leader sent, and
    `delay_ms` is the median time from sending an order to its reply.
    """

    size: LeaderSize
    starts_per_s: float
    link_share: float
    cores: float
    bytes_per_start: float
    plans_per_s: float
    delay_ms: float
    waiting_link: float
    waiting_other: float

    @property
    def limit(self) -> str:
        """Return what kept the leader from more starts.

        `load` means that jobs, workers or the machine did not keep up.
        """
        if self.cores >= FULL * min(1, self.size.cores):
            return 'processor'
        if self.link_share >= FULL:
            return 'link'
        if self.waiting_link > self.waiting_other:
            return 'starts in flight'
        return 'load'


def main() -> None:
    """Measure all sizes and print the figures."""
    numbers = [int(text) for text in sys.argv[1:]]
    defaults = (DEFAULT_S, DEFAULT_WORKERS, DEFAULT_PAYLOAD_BYTES)
    seconds, workers, payload_bytes = (*numbers, *defaults[len(numbers) :])
    _print_bytes('start', start_bytes(payload_bytes))
    _print_bytes('poll', poll_bytes())
    print(f'connection: {HANDSHAKE_BYTES} bytes')
    print(
        f'{"Mbit/s":>6} {"cores":>5} {"starts/s":>8} {"link":>5} {"used":>5} '
        f'{"bytes/start":>11} {"plans/s":>7} {"reply ms":>8} '
        f'{"us/start":>8} limit'
    )
    for link_mbps in LINKS_MBPS:
        for cores in CORES:
            size = LeaderSize(link_mbps, cores)
            _print_rate(measure(size, seconds, workers, payload_bytes))


def measure(
    size: LeaderSize,
    seconds: float,
    workers: int,
    payload_bytes: int,
    settle_s: float = SETTLE_S,
) -> StartRate:
    """Measure one leader for a time, after it has settled."""
    site = SmallLeaderSite(workers, size.link_mbps, size.cores, payload_bytes)
    with closing(site):
        site.feed(WAITING_TASKS)
        site.wait_for_starts()
        time.sleep(settle_s)
        before = site.usage()
        time.sleep(seconds)
        after = site.usage()
        delay_ms = site.order_delay_ms(MEDIAN)
    # The instance buffers its log, so it is read after the end.
    reports = [
        report
        for report in site.plan_reports()
        if before.at_s <= report['timestamp'] <= after.at_s
    ]
    passed_s = after.at_s - before.at_s
    sent_bytes = after.sent_bytes - before.sent_bytes
    starts = after.starts - before.starts
    return StartRate(
        size,
        starts / passed_s,
        sent_bytes / passed_s / (size.link_mbps * BYTES_PER_MBIT),
        (after.processor_s - before.processor_s) / passed_s,
        sent_bytes / max(1, starts),
        _mean(report['plans'] for report in reports),
        delay_ms,
        _mean(report.get('waiting_link', 0) for report in reports),
        _mean(map(_waiting_otherwise, reports)),
    )


def _mean(amounts: Iterable[float]) -> float:
    return fmean(tuple(amounts) or (0,))


def _waiting_otherwise(report: Mapping[str, Any]) -> int:
    """Return how many tasks wait for anything but the link."""
    return sum(
        int(amount)
        for name, amount in report.items()
        if name.startswith('waiting_') and name != 'waiting_link'
    )


def _print_bytes(name: str, parts: CallBytes) -> None:
    print(
        f'{name}: payload {parts.payload_bytes}, other fields '
        f'{parts.fields_bytes}, headers {parts.head_bytes}, packets '
        f'{parts.packet_bytes}, in all {parts.total_bytes} bytes'
    )


def _print_rate(rate: StartRate) -> None:
    us_per_start = 1_000_000 * rate.cores / max(1, rate.starts_per_s)
    print(
        f'{rate.size.link_mbps:6} {rate.size.cores:5} '
        f'{rate.starts_per_s:8.0f} {rate.link_share:5.0%} '
        f'{rate.cores:5.2f} {rate.bytes_per_start:11.0f} '
        f'{rate.plans_per_s:7.1f} {rate.delay_ms:8.1f} '
        f'{us_per_start:8.0f} {rate.limit}',
        flush=True,
    )


if __name__ == '__main__':
    main()
