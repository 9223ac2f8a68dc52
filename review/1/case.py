"""A leader that is cut off from the store goes on with a wave beside the next.

With TROUBLE=0 the link to the store stays up.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

from site_of_review import LinkState, Machines, is_trouble, run_case

MACHINES = tuple(f'm{number}' for number in range(1, 9))
AT_MOST = 1
CUT_S = 5.5
WITHIN_S = 60


def play(site):
    """Return the upkeeps that began while too many machines were down."""
    site.write_config()
    site.machines = Machines(site, MACHINES)
    site.add_instances(3)
    site.wait(site.leader, 10, 'a leader')
    time.sleep(1.5)
    site.store.put(
        'op/wave/1',
        {
            'wave': 1,
            'machines': list(MACHINES),
            'within_s': WITHIN_S,
            'at_most': AT_MOST,
        },
    )
    site.record.note(f'operator: op/wave/1 for {MACHINES}, at_most {AT_MOST}')
    site.wait(lambda: len(site.machines.begun) >= 2, 20, 'a second upkeep')
    if is_trouble():
        time.sleep(0.3)
        holder = site.machines.begun[-1][2]
        cut = site.instance(holder)
        site.record.note(f'{holder} is cut off from the store')
        cut.link.switch(LinkState.CUT)
        time.sleep(CUT_S)
        cut.link.switch(LinkState.UP)
        site.record.note(f'{holder} reaches the store again')
    site.wait(
        lambda: len(site.machines.begun) == len(MACHINES),
        60,
        'an upkeep of every machine',
    )
    return [
        f'LIMIT: the upkeep of {machine} began at {at_s:.3f} s on the order of'
        f' {holder} while {others} were down for theirs (at_most {AT_MOST})'
        for at_s, machine, holder, others, _ in site.machines.begun
        if len(others) >= AT_MOST
    ]


run_case(Path(__file__).parent, play)
