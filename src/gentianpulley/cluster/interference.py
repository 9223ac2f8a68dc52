"""Learns how much each image of filling tasks harms each serving image.

Answers the pattern of harm that differs by pair and shows only in late, rough
figures. For each serving image, the logarithm of the latency tail is taken as
a base plus, for each filling image, a coefficient times the share of the
worker's processors that it uses. Coefficients are estimated by recursive
least squares with a prior, one small system for each serving image.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

import msgspec

from gentianpulley.deadline import MS_PER_SECOND

PRIOR_COEFFICIENT: Final = 3.0
"""Coefficient of an unknown pair: a task on a sixth of the worker raises the
tail by half, so that unknown pairs are tried one at a time."""

PRIOR_VARIANCE: Final = 6.0
"""Coefficients of pairs lie between none and about eight."""

PRIOR_BASE_MS: Final = 15.0
BASE_VARIANCE: Final = 0.5

OBSERVATION_NOISE_VARIANCE: Final = 0.6
"""Variance of the logarithm of a reported tail: load and rough figures."""

PROCESS_NOISE_VARIANCE: Final = 0.001
"""Added for each sample, as harm changes within seconds."""

MAX_VARIANCE: Final = 8.0

HANDOVER_VARIANCE: Final = 0.1
"""Added at a hand-over: as much as drift adds in a hundred samples, which a
worker gives in forty seconds."""

MAX_REPORTS_PER_S: Final = 400
"""Reports a second from which the model learns, on a site of any size."""

REPORT_BURST_MS: Final = 100
"""How long reports that did not come may come later."""

EXPORTED_DIGITS: Final = 3
"""Decimal digits kept of exported figures."""

MAX_EXPORT_BYTES: Final = 100_000
"""What is written every second: a link of 5 Mbit/s carries it, as base64, in
a part of the time that a write may take. Some twelve hundred pairs."""

CpuShares = Mapping[str, float]
"""Share of a worker's processors used, by image of the filling tasks."""

_BASE: Final = 0
_Row = list[float]


@dataclass(slots=True)
class _Estimate:
    """One serving image: coefficients and their covariance."""

    names: dict[str, int] = field(default_factory=dict)
    means: _Row = field(default_factory=list)
    covariance: list[_Row] = field(default_factory=list)

    def position(self, image: str) -> int:
        """Return the place of a filling image; a new one gets the prior."""
        place = self.names.get(image)
        if place is None:
            place = len(self.means)
            self.names[image] = place
            self._grow(PRIOR_COEFFICIENT, PRIOR_VARIANCE)
        return place

    def _grow(self, mean: float, variance: float) -> None:
        self.means.append(mean)
        for row in self.covariance:
            row.append(0)
        added: _Row = [0 for _ in self.means]
        added[-1] = variance
        self.covariance.append(added)


@dataclass(frozen=True, slots=True)
class PairEstimate:
    """One coefficient as it is handed to the next leader."""

    serving: str
    filling: str
    harm: float
    variance: float


class InterferenceModel:
    """What is known of all pairs of images."""

    def __init__(self) -> None:
        """Know nothing but the prior."""
        self._estimates: dict[str, _Estimate] = {}
        self._next_report_ms: float = 0

    def admit_report(self, now_ms: int) -> bool:
        """Tell whether one more report is worth its processor time now.

        What is asked for is spread evenly over time.
        """
        if now_ms < self._next_report_ms:
            return False
        earliest_ms = max(self._next_report_ms, now_ms - REPORT_BURST_MS)
        self._next_report_ms = earliest_ms + MS_PER_SECOND / MAX_REPORTS_PER_S
        return True

    def observe(self, serving: str, tail_ms: float, shares: CpuShares) -> None:
        """Learn from one report of a serving task beside filling ones."""
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
        """Return a pair's coefficient, never below zero."""
        estimate = self._estimate(serving)
        place = estimate.names.get(filling)
        if place is None:
            return PRIOR_COEFFICIENT
        return max(0, estimate.means[place])

    def export(self) -> bytes:
        """Return the coefficients and their variances for the next leader.

        Where not all of them fit one write, those that are known best.
        """
        known = [
            PairEstimate(
                serving,
                filling,
                round(estimate.means[place], EXPORTED_DIGITS),
                round(estimate.covariance[place][place], EXPORTED_DIGITS),
            )
            for serving, estimate in self._estimates.items()
            for filling, place in estimate.names.items()
        ]
        known.sort(key=attrgetter('variance'))
        return _bounded(known)

    def load(self, body: bytes) -> None:
        """Take over coefficients; raises `msgspec.DecodeError`.

        What pairs have in common is left out: a successor learns that anew.
        """
        for pair in msgspec.json.decode(body, type=list[PairEstimate]):
            estimate = self._estimate(pair.serving)
            place = estimate.position(pair.filling)
            estimate.means[place] = pair.harm
            known = min(MAX_VARIANCE, pair.variance + HANDOVER_VARIANCE)
            estimate.covariance[place][place] = known

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
    """Return a model that knows only the prior."""
    return InterferenceModel()


def _bounded(pairs: list[PairEstimate]) -> bytes:
    """Return the first pairs, as many as fit one write."""
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
    estimate: _Estimate, features: list[tuple[int, float]], seen: float
) -> None:
    """Take one observation into the estimate (a Kalman update)."""
    spread = [_weighted(row, features) for row in estimate.covariance]
    variance = OBSERVATION_NOISE_VARIANCE + _weighted(spread, features)
    error = seen - _weighted(estimate.means, features)
    for place, amount in enumerate(spread):
        gain = amount / variance
        estimate.means[place] += gain * error
        narrowed = _narrowed(estimate.covariance[place], spread, gain)
        narrowed[place] = min(
            narrowed[place] + PROCESS_NOISE_VARIANCE, MAX_VARIANCE
        )
        estimate.covariance[place] = narrowed


def _narrowed(row: _Row, spread: _Row, gain: float) -> _Row:
    both = zip(row, spread, strict=True)
    return [known - gain * beside for known, beside in both]


def _weighted(row: _Row, features: list[tuple[int, float]]) -> float:
    return sum(row[place] * amount for place, amount in features)
