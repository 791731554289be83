"""Targets that respond without end, at a real gateway process.

They guard against a process that ends or stands still, since what such targets
send costs it more than it counts, or is charged to the requests of others.
"""

import time
from pathlib import Path

import pytest

from ...testing.endless_targets import endless_forms, endless_target
from ...testing.gateway import ScriptedHttpTarget
from ...testing.gateway_process import gateway_process
from ...testing.ordinary_callers import Callers

# Memory of the smallest machine that runs a gateway in the deployments.
MACHINE_MEMORY_MB = 200
# A half of it.
OPTIONS = ('max_buffered_bytes = 104857600',)
ENDLESS_TARGETS = 4
ENDLESS_CALLERS = 16
SOUND_CALLERS = 4
DURATION_S = 5.0
# The shortest deadline of callers in the deployments.
DEADLINE_MS = 2000
STATUSES = (200, 500)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('form', list(endless_forms))
def test_endless_responses_cost_other_callers_nothing(
    tmp_path: Path, form: str, status: int
) -> None:
    """Guards against an end, a hang and requests of others without answer."""
    sound = ScriptedHttpTarget().start()
    endless = {
        f'e{number}': endless_target(form, status).start()
        for number in range(ENDLESS_TARGETS)
    }
    with gateway_process(
        tmp_path, sound, options=OPTIONS, others=endless
    ) as process:
        with (
            Callers(process, '/other/1', ENDLESS_CALLERS) as callers,
            Callers(
                process,
                '/desk/1',
                SOUND_CALLERS,
                method='POST',
                deadline_ms=DEADLINE_MS,
            ) as others,
        ):
            time.sleep(DURATION_S)
        peak_memory_mb = process.peak_memory_mb() if process.is_alive else 0
        print(
            f'{form} {status}: {peak_memory_mb:.0f} MB, others '
            f'{dict(others.ends)}, slowest {others.slowest_s:.2f} s, callers '
            f'of endless responses {dict(callers.ends)}'
        )
        assert process.is_alive
        assert set(others.ends) == {'200'}
        assert others.slowest_s * 1000 < DEADLINE_MS
        assert 'no answer' not in callers.ends
        assert peak_memory_mb < MACHINE_MEMORY_MB
    assert sum(each.requests for each in endless.values())
    sound.stop()
    for each in endless.values():
        each.stop()
