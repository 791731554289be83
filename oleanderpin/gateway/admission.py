"""Admission by expected wait, and the retry delay of refused requests.

Load pattern: callers send more than the targets can process. If every request
were queued, all responses would be late and callers would retry. Requests that
would be late are refused at once so that the others meet their objective;
requests of lower priority are refused first.
"""

import random

# Fraction of the latency objective that requests of the highest priority may
# spend here and at the target; the rest covers the network path to the caller
# and waits that exceed the estimate. A longer queue does not raise throughput
# and makes every response late.
_MAX_LATENCY_FRACTION = 0.85
_MIN_LATENCY_FRACTION = 0.7
# Requests of lower priority get a smaller fraction and are refused first.
_LATENCY_FRACTION_STEP = 0.05
# A wait this short is always accepted, since target loads are known with a
# delay.
_MIN_ACCEPTED_WAIT_S = 0.05
# A queue as long as the accepted wait drains in about this time.
_MIN_RETRY_DELAY_S = 0.15
# Jitter that keeps refused callers from retrying at the same moment.
_RETRY_JITTER_S = 0.3


def max_wait_s(
    objective_s: float, usual_s: float, *, rank: int, spent_s: float
) -> float:
    """Return the longest wait that still meets the latency objective.

    Parameters
    ----------
    objective_s : float
        Latency objective.
    usual_s : float
        Usual response time without a wait.
    rank : int
        Priority; 0 is the highest.
    spent_s : float
        Time since the request was received.
    """
    fraction = max(
        _MIN_LATENCY_FRACTION,
        _MAX_LATENCY_FRACTION - rank * _LATENCY_FRACTION_STEP,
    )
    return max(_MIN_ACCEPTED_WAIT_S, objective_s * fraction - usual_s - spent_s)


def return_after_s(
    wait_s: float, accepted_s: float, generator: random.Random
) -> float:
    """Return the time after which a refused caller should retry.

    Parameters
    ----------
    wait_s : float
        Expected wait for a slot.
    accepted_s : float
        Wait that would have been accepted.
    generator : random.Random
        Source of the jitter.
    """
    drained_s = max(0.0, wait_s - accepted_s)
    return (
        drained_s + _MIN_RETRY_DELAY_S + generator.uniform(0, _RETRY_JITTER_S)
    )
