"""Targets that respond without end, at a real entry process.

They guard against worker threads, processor time or memory that such targets
take from the requests of others.
"""

import time
from pathlib import Path

import pytest

from ...testing.endless_targets import endless_forms, endless_target
from ...testing.entry_callers import EntryCallers
from ...testing.entry_process import OTHER_SERVICE, SERVICE, EntryProcess

# Memory of the smallest machine of the deployments.
MACHINE_MEMORY_MB = 200
THREADS = 16
# More than there are worker threads.
ENDLESS_CALLERS = 20
SOUND_CALLERS = 2
DURATION_S = 2.5
# The shortest deadline of callers in the deployments.
DEADLINE_S = 2.0
# One endless target for each.
STATUSES = (200, 500, 200, 500)


@pytest.mark.parametrize('form', list(endless_forms))
def test_endless_responses_leave_threads_to_others(
    tmp_path: Path, form: str
) -> None:
    """Guards against requests of others that get no answer in time."""
    endless = {
        f'e{number}': endless_target(form, status).start()
        for number, status in enumerate(STATUSES)
    }
    with EntryProcess(
        tmp_path, extra=f'[forwarding]\nthreads = {THREADS}\n', others=endless
    ) as process:
        with (
            EntryCallers(process, OTHER_SERVICE, ENDLESS_CALLERS // 2) as get,
            EntryCallers(
                process, OTHER_SERVICE, ENDLESS_CALLERS // 2, method='POST'
            ) as post,
            EntryCallers(
                process, SERVICE, SOUND_CALLERS, method='POST'
            ) as others,
        ):
            time.sleep(DURATION_S)
        assert process.is_alive()
        print(
            f'{form}: {process.resident_mb():.0f} MB, '
            f'{process.processor_s():.1f} s of processor time, others '
            f'{dict(others.ends)}, slowest {others.slowest_s:.2f} s, callers '
            f'of endless responses {dict(get.ends + post.ends)}'
        )
        assert set(others.ends) == {'200'}
        assert others.slowest_s < DEADLINE_S
        assert '200' not in get.ends + post.ends
        assert process.resident_mb() < MACHINE_MEMORY_MB
    assert sum(each.requests for each in endless.values())
    for each in endless.values():
        each.stop()
