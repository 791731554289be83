"""Anytime-valid comparison of two versions by betting e-processes.

Each batch is a two-by-two table: good and bad requests of the new and the old
version in the same interval, on the same route and instance. Given the
margins of the table, the number of bad requests of the new version follows
Fisher's noncentral hypergeometric distribution. The ratio of its likelihoods
under an odds ratio above the tolerance and at the tolerance is an e-value.
Failures that affect both versions equally cancel out.

The products over batches are mixed over the possible times at which the
version became worse, so that a late degradation is detected as well. By
Ville's inequality the mixture exceeds ``1 / alpha`` with a probability of at
most ``alpha`` while the new version is within the tolerance.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

# The new version's odds of a bad response may be higher by this factor.
TOLERATED_ODDS_RATIO = 1.25
# Alternative hypotheses: a slight, a clear and a severe degradation.
_ALTERNATIVE_ODDS_RATIOS = (2.0, 5.0, 20.0)
# Larger batches are thinned to bound the cost of the normalizing sums.
_MAX_BATCH_REQUESTS = 400


@dataclass(frozen=True, slots=True)
class Batch:
    """Request counts of both versions in one interval.

    Parameters
    ----------
    new_count, new_bad : int
        Requests of the new version, and the bad ones among them.
    old_count, old_bad : int
        Requests of the old version, and the bad ones among them.
    """

    new_count: int
    new_bad: int
    old_count: int
    old_bad: int

    @property
    def is_informative(self) -> bool:
        """Whether both versions had requests and some but not all were bad."""
        bad = self.new_bad + self.old_bad
        count = self.new_count + self.old_count
        return bool(self.new_count and self.old_count and 0 < bad < count)


class SequentialDetector:
    """Sequential test of whether the new version is worse than the old one.

    Parameters
    ----------
    alpha : float
        Upper bound of the false-alarm probability over any number of batches.
    """

    def __init__(self, alpha: float) -> None:
        """Start without evidence."""
        if not 0 < alpha < 1:
            raise ValueError(f'alpha={alpha!r} must lie between 0 and 1')
        self.alpha = alpha
        self._batch_count = 0
        self._log_values = [
            -math.inf for _odds_ratio in _ALTERNATIVE_ODDS_RATIOS
        ]

    def update(self, batch: Batch) -> None:
        """Add the evidence of the next batch."""
        if not batch.is_informative:
            return
        batch = _thinned(batch)
        self._batch_count += 1
        # The weights 1 / (k * (k + 1)) of the possible change points sum to 1.
        log_weight = -math.log(self._batch_count * (self._batch_count + 1))
        ratios = _log_ratios(
            batch.new_count, batch.old_count, batch.new_bad + batch.old_bad
        )
        for position, log_ratio in enumerate(ratios):
            log_prior = _log_add(self._log_values[position], log_weight)
            gain = log_ratio.gain(batch.new_bad)
            self._log_values[position] = log_prior + gain

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the e-value; 0 or less means no evidence."""
        total = -math.inf
        for log_value in self._log_values:
            total = _log_add(total, log_value)
        return total - math.log(len(_ALTERNATIVE_ODDS_RATIOS))

    @property
    def is_bad(self) -> bool:
        """Whether the new version is worse at false-alarm rate ``alpha``."""
        return self.log_evidence >= -math.log(self.alpha)

    @property
    def is_suspicious(self) -> bool:
        """Whether half of the required log evidence has accumulated."""
        return self.log_evidence >= -math.log(self.alpha) / 2


@dataclass(frozen=True, slots=True)
class _LogRatio:
    """Log likelihood ratio, linear in the bad requests of the new version."""

    slope: float
    intercept: float

    def gain(self, new_bad: int) -> float:
        return self.slope * new_bad + self.intercept


@lru_cache(maxsize=4096)
def _log_ratios(
    new_count: int, old_count: int, bad: int
) -> Sequence[_LogRatio]:
    log_base = _log_normalizer(new_count, old_count, bad, TOLERATED_ODDS_RATIO)
    ratios = []
    for odds_ratio in _ALTERNATIVE_ODDS_RATIOS:
        log_norm = _log_normalizer(new_count, old_count, bad, odds_ratio)
        slope = math.log(odds_ratio / TOLERATED_ODDS_RATIO)
        ratios.append(_LogRatio(slope, log_base - log_norm))
    return tuple(ratios)


def _log_normalizer(
    new_count: int, old_count: int, bad: int, odds_ratio: float
) -> float:
    log_odds = math.log(odds_ratio)
    total = -math.inf
    for new_bad in range(max(0, bad - old_count), min(new_count, bad) + 1):
        log_term = (
            _log_choose(new_count, new_bad)
            + _log_choose(old_count, bad - new_bad)
            + new_bad * log_odds
        )
        total = _log_add(total, log_term)
    return total


def _log_choose(count: int, chosen: int) -> float:
    return (
        math.lgamma(count + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(count - chosen + 1)
    )


def _log_add(first: float, second: float) -> float:
    high = max(first, second)
    if high == -math.inf:
        return high
    return high + math.log1p(math.exp(min(first, second) - high))


def _thinned(batch: Batch) -> Batch:
    # Rounding in favour of the new version preserves the false-alarm bound.
    new_count, new_bad = batch.new_count, batch.new_bad
    if new_count > _MAX_BATCH_REQUESTS:
        new_count, new_bad = (
            _MAX_BATCH_REQUESTS,
            new_bad * _MAX_BATCH_REQUESTS // new_count,
        )
    old_count, old_bad = batch.old_count, batch.old_bad
    if old_count > _MAX_BATCH_REQUESTS:
        old_bad = -(-old_bad * _MAX_BATCH_REQUESTS // old_count)
        old_count = _MAX_BATCH_REQUESTS
    return Batch(new_count, new_bad, old_count, old_bad)
