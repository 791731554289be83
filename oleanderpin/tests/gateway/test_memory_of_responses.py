"""The memory of a real gateway process without the control role."""

import time
from pathlib import Path

import pytest

from ...testing.endless_targets import endless_target
from ...testing.gateway import ScriptedHttpTarget
from ...testing.gateway_process import gateway_process
from ...testing.ordinary_callers import Callers

# Memory of the smallest machine that runs a gateway in the deployments.
MACHINE_MEMORY_MB = 200
ENDLESS_TARGETS = 8
ENDLESS_CALLERS = 40
DURATION_S = 5.0


@pytest.mark.parametrize('form', ['one-chunk', 'no-length'])
def test_memory_of_responses_that_are_given_up(
    tmp_path: Path, form: str
) -> None:
    """Guards against freed memory that the allocator keeps.

    Only instances with the control role returned it to the system.
    """
    sound = ScriptedHttpTarget().start()
    endless = {
        f'e{number}': endless_target(form, 200).start()
        for number in range(ENDLESS_TARGETS)
    }
    with gateway_process(
        tmp_path,
        sound,
        others=endless,
        memory_mb=MACHINE_MEMORY_MB,
        has_control_role=False,
    ) as process:
        with Callers(process, '/other/1', ENDLESS_CALLERS) as callers:
            time.sleep(DURATION_S)
        print(f'{form}: {process.peak_memory_mb():.0f} MB, {callers.ends}')
        assert process.peak_memory_mb() < MACHINE_MEMORY_MB
    assert sum(each.requests for each in endless.values())
    sound.stop()
    for each in endless.values():
        each.stop()
