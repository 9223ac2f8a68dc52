"""`make demo`: both users' sites, cut small, through a bad quarter hour.

Starts each site as processes on loopback, sends its kinds of work, adds a law
as one file, takes a failure domain out and back, and kills an entry instance.
Then it checks the promises against what the workers recorded. Before that, a
job of two steps runs on a small site of the users' platform.
"""

import sys
from contextlib import ExitStack

from demo.load import Load
from demo.checks import broken_promises
from demo.sites import LASTWRIGHT, TUUL, DemoSite, start_demo_site
from demo.steps import run_steps
from standins.site import Site


def main() -> int:
    """Run both sites and return the exit status."""
    broken = run_steps()
    for plan in (LASTWRIGHT, TUUL):
        with ExitStack() as stack:
            site = start_demo_site(plan)
            stack.callback(site.stop)
            broken.extend(_run(plan, site))
    for promise in broken:
        print(f'BROKEN: {promise}')
    if broken:
        return 1
    print('all promises held')
    return 0


def _run(plan: DemoSite, site: Site) -> list[str]:
    print(f'== {plan.title} ==')
    load = Load(plan, site)
    load.start()
    moments = _bad_quarter_hour(plan, site, load)
    load.finish()
    print(load.summary())
    return broken_promises(plan, site, load, moments)


def _bad_quarter_hour(
    plan: DemoSite, site: Site, load: Load
) -> tuple[int, int, int]:
    load.keep_on(4)
    law_ms = plan.add_law(site)
    load.keep_on(3)
    out_ms = plan.take_out(site)
    load.keep_on(4)
    back_ms = plan.bring_back(site)
    load.keep_on(2)
    plan.kill_entry(site)
    load.keep_on(6)
    return law_ms, out_ms, back_ms


if __name__ == '__main__':
    sys.exit(main())
