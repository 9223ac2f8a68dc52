"""Learns how much each best-effort image interferes with each serving image.

A serving image is one of latency-critical tasks. Interference differs by pair
of images and shows only in delayed, noisy measurements. For each serving
image, the model takes the logarithm of the tail latency as a base plus, for
each best-effort image, a coefficient times the share of the worker's
processors that it uses. The coefficients are estimated by recursive least
squares with a prior, one small system for each serving image.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

import msgspec

from gentianpulley.json_decoding import decode_json
from gentianpulley.deadline import MS_PER_SECOND

PRIOR_COEFFICIENT: Final = 3.0
"""Coefficient of an unknown pair. With it, a best-effort task on a sixth of the
worker raises the tail by half, so that unknown pairs are tried one at a
time."""

PRIOR_VARIANCE: Final = 6.0
"""Prior variance of a coefficient; coefficients lie between zero (none) and
about eight."""

PRIOR_BASE_MS: Final = 15.0
BASE_VARIANCE: Final = 0.5

OBSERVATION_NOISE_VARIANCE: Final = 0.6
"""Variance of the logarithm of a reported tail, due to changes of load and
noisy measurements."""

PROCESS_NOISE_VARIANCE: Final = 0.001
"""Variance added for each sample, as interference changes within seconds."""

MAX_VARIANCE: Final = 8.0

HANDOVER_VARIANCE: Final = 0.1
"""Variance added at a handover. The process noise adds as much in a hundred
samples, which a worker reports in forty seconds."""

MAX_REPORTS_PER_S: Final = 400
"""Reports per second from which the model learns, on a cluster of any size."""

REPORT_BURST_MS: Final = 100
"""Time for which unused report allowance can still be used."""

EXPORTED_DIGITS: Final = 3
"""Decimal digits of exported values."""

MAX_EXPORT_BYTES: Final = 100_000
"""Maximum size of an export, which is written every second. A 5 Mbit/s link
carries it, as base64, in a fraction of the write timeout. It holds about twelve
hundred pairs."""

CpuShares = Mapping[str, float]
"""Share of a worker's processors used, by best-effort image."""

_BASE: Final = 0
_Row = list[float]


@dataclass(slots=True)
class _Estimate:
    """One serving image: coefficients and their covariance."""

    names: dict[str, int] = field(default_factory=dict)
    means: _Row = field(default_factory=list)
    covariance: list[_Row] = field(default_factory=list)

    def position(self, image: str) -> int:
        """Return the index of a best-effort image, adding it with the prior."""
        index = self.names.get(image)
        if index is None:
            index = len(self.means)
            self.names[image] = index
            self._grow(PRIOR_COEFFICIENT, PRIOR_VARIANCE)
        return index

    def _grow(self, mean: float, variance: float) -> None:
        self.means.append(mean)
        for row in self.covariance:
            row.append(0)
        added: _Row = [0 for _ in self.means]
        added[-1] = variance
        self.covariance.append(added)


@dataclass(frozen=True, slots=True)
class PairEstimate:
    """One coefficient as exported to the next leader."""

    serving: str
    filling: str
    harm: float
    variance: float


_ESTIMATES_DECODER: Final = msgspec.json.Decoder(list[PairEstimate])


class InterferenceModel:
    """The estimated interference of all pairs of images."""

    def __init__(self) -> None:
        """Start with the prior only."""
        self._estimates: dict[str, _Estimate] = {}
        self._next_report_ms: float = 0

    def admit_report(self, now_ms: int) -> bool:
        """Return whether the model may spend time on one more report now.

        Admitted reports are spread evenly over time.
        """
        if now_ms < self._next_report_ms:
            return False
        earliest_ms = max(self._next_report_ms, now_ms - REPORT_BURST_MS)
        self._next_report_ms = earliest_ms + MS_PER_SECOND / MAX_REPORTS_PER_S
        return True

    def observe(self, serving: str, tail_ms: float, shares: CpuShares) -> None:
        """Learn from one report of a latency-critical task.

        `shares` is what the best-effort tasks of the same worker used.
        """
        if tail_ms <= 0:
            return
        estimate = self._estimate(serving)
        features = [(_BASE, 1.0)]
        features.extend(
            (estimate.position(image), share)
            for image, share in shares.items()
            if share > 0
        )
        _update(estimate, features, math.log(tail_ms))

    def predict(self, serving: str, shares: CpuShares) -> float:
        """Return the logarithm of the expected tail in milliseconds."""
        estimate = self._estimate(serving)
        expected = estimate.means[_BASE]
        return expected + sum(
            share * self.coefficient(serving, image)
            for image, share in shares.items()
        )

    def coefficient(self, serving: str, filling: str) -> float:
        """Return the coefficient of a pair, at least zero."""
        estimate = self._estimate(serving)
        index = estimate.names.get(filling)
        if index is None:
            return PRIOR_COEFFICIENT
        return max(0, estimate.means[index])

    def export(self) -> bytes:
        """Return the coefficients and their variances for the next leader.

        If not all fit in one write, those with the smallest variances are kept.
        """
        pairs = [
            PairEstimate(
                serving,
                filling,
                round(estimate.means[index], EXPORTED_DIGITS),
                round(estimate.covariance[index][index], EXPORTED_DIGITS),
            )
            for serving, estimate in self._estimates.items()
            for filling, index in estimate.names.items()
        ]
        pairs.sort(key=attrgetter('variance'))
        return _encode_bounded(pairs)

    def load(self, body: bytes) -> None:
        """Load exported coefficients; raises `msgspec.DecodeError`.

        The base of each serving image and the covariances between pairs are
        not exported; the next leader learns them again.
        """
        for pair in decode_json(_ESTIMATES_DECODER, body):
            estimate = self._estimate(pair.serving)
            index = estimate.position(pair.filling)
            estimate.means[index] = pair.harm
            variance = min(MAX_VARIANCE, pair.variance + HANDOVER_VARIANCE)
            estimate.covariance[index][index] = variance

    def _estimate(self, serving: str) -> _Estimate:
        estimate = self._estimates.get(serving)
        if estimate is None:
            estimate = _Estimate(
                names={'': _BASE},
                means=[math.log(PRIOR_BASE_MS)],
                covariance=[[BASE_VARIANCE]],
            )
            self._estimates[serving] = estimate
        return estimate


def create_interference_model() -> InterferenceModel:
    """Return a model that holds only the prior."""
    return InterferenceModel()


def _encode_bounded(pairs: list[PairEstimate]) -> bytes:
    """Encode the first pairs, as many as fit in one write."""
    rows: list[bytes] = []
    left = MAX_EXPORT_BYTES
    for pair in pairs:
        row = msgspec.json.encode(pair)
        left -= len(row) + 1
        if left < 0:
            break
        rows.append(row)
    return b'[%b]' % b','.join(rows)


def _update(
    estimate: _Estimate, features: list[tuple[int, float]], observed: float
) -> None:
    """Update the estimate with one observation (a Kalman update)."""
    spread = [_weighted_sum(row, features) for row in estimate.covariance]
    variance = OBSERVATION_NOISE_VARIANCE + _weighted_sum(spread, features)
    error = observed - _weighted_sum(estimate.means, features)
    for index, amount in enumerate(spread):
        gain = amount / variance
        estimate.means[index] += gain * error
        reduced = _reduced_row(estimate.covariance[index], spread, gain)
        reduced[index] = min(
            reduced[index] + PROCESS_NOISE_VARIANCE, MAX_VARIANCE
        )
        estimate.covariance[index] = reduced


def _reduced_row(row: _Row, spread: _Row, gain: float) -> _Row:
    pairs = zip(row, spread, strict=True)
    return [old - gain * weighted for old, weighted in pairs]


def _weighted_sum(row: _Row, features: list[tuple[int, float]]) -> float:
    return sum(row[index] * amount for index, amount in features)
