"""`make demo`: scaled-down clusters of both users under several disruptions.

Starts each cluster as processes on loopback, sends its kinds of work, adds a
law as one file, takes a failure domain out of service and returns it, and kills
an entry instance. Then it checks the guarantees against the workers' records.
Before that, a job of two steps runs on a small cluster of the users' platform.
"""

import sys
from contextlib import ExitStack

from demo.load import Load
from demo.checks import broken_promises
from demo.sites import LASTWRIGHT, TUUL, DemoSite, start_demo_site
from demo.steps import run_steps
from standins.site import Site


def main() -> int:
    """Run all demos and return the exit status."""
    violations = run_steps()
    for plan in (LASTWRIGHT, TUUL):
        with ExitStack() as stack:
            site = start_demo_site(plan)
            stack.callback(site.stop)
            violations.extend(_run(plan, site))
    for violation in violations:
        print(f'BROKEN: {violation}')
    if violations:
        return 1
    print('all promises held')
    return 0


def _run(plan: DemoSite, site: Site) -> list[str]:
    print(f'== {plan.title} ==')
    load = Load(plan, site)
    load.start()
    times_ms = _run_disruptions(plan, site, load)
    load.finish()
    print(load.summary())
    return broken_promises(plan, site, load, times_ms)


def _run_disruptions(
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
