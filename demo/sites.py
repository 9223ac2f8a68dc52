"""Scaled-down clusters of the two users."""

import json
import time
from dataclasses import dataclass
from pathlib import Path

from standins.site import Site


@dataclass(frozen=True)
class Kind:
    """One kind of work: its class and the parameters of its tasks."""

    work_class: str
    is_idempotent: bool
    run_ms: int
    processors_milli: int
    memory_mib: int
    deadline_ms: int
    waits: bool


@dataclass(frozen=True)
class DemoSite:
    """A demo cluster and the disruptions that it goes through."""

    title: str
    team: str
    domains: tuple[str, ...]
    workers: tuple[tuple[str, str], ...]
    entries: tuple[tuple[str, str], ...]
    kinds: tuple[Kind, ...]
    law: dict[str, object]
    law_class: str
    law_closes: str
    domain_out: str
    processors_milli: int
    memory_mib: int

    def write_cfg(self, folder: Path) -> None:
        """Write the initial cfg file of the operators."""
        classes = {
            kind.work_class: {
                'urgent': kind.waits and kind.is_idempotent,
                'idempotent': kind.is_idempotent,
                'resumable': not kind.waits,
                'isolated_start': kind.waits and kind.is_idempotent,
                'run_ms': kind.run_ms,
                'objective': {'latency_ms': kind.run_ms + 500},
            }
            for kind in self.kinds
        }
        cfg = {
            'failure_domains': {name: {} for name in self.domains},
            'teams': {self.team: {}},
            'classes': classes,
        }
        text = json.dumps(cfg, indent=2)
        (folder / '10-site.jsonc').write_text(f'// {self.title}\n{text}\n')

    def add_law(self, site: Site) -> int:
        """Add and push one file with a law; returns when accepted."""
        folder = site.folder / 'cfg'
        text = json.dumps({'rules': {'overnight-law': self.law}}, indent=2)
        (folder / '50-overnight-law.jsonc').write_text(
            f'// Passed last night.\n{text}\n'
        )
        return _cli(site, 'cfg', 'push', str(folder))

    def kill_entry(self, site: Site) -> None:
        """Kill the first entry instance without warning."""
        entry = self.entries[0][0]
        site.processes[entry].kill()
        print(f'killed {entry}')

    def take_out(self, site: Site) -> int:
        """Take the failure domain out of service; returns when accepted."""
        return _cli(site, 'domain', 'out', self.domain_out)

    def bring_back(self, site: Site) -> int:
        """Return the failure domain to service; returns when accepted."""
        return _cli(site, 'domain', 'in', self.domain_out)


LASTWRIGHT = DemoSite(
    title='Lastwright: previews, builds and scaling runs',
    team='clinic-leith',
    domains=('leith', 'gorgie'),
    workers=(
        ('lathe-1', 'leith'),
        ('lathe-2', 'leith'),
        ('lathe-3', 'gorgie'),
        ('lathe-4', 'gorgie'),
    ),
    entries=(
        ('entry-leith-1', 'leith'),
        ('entry-leith-2', 'leith'),
        ('entry-gorgie-1', 'gorgie'),
    ),
    kinds=(
        Kind('fit-preview', True, 40, 2000, 2000, 3000, True),
        Kind('last-build', False, 400, 8000, 8000, 20_000, True),
        Kind('scaling-run', True, 2500, 16_000, 16_000, 60_000, False),
    ),
    law={'classes': ['scaling-run'], 'allow_domains': ['gorgie']},
    law_class='scaling-run',
    law_closes='leith',
    domain_out='leith',
    processors_milli=64_000,
    memory_mib=250_000,
)

TUUL = DemoSite(
    title='Tuul: letter checks, printing and archives',
    team='editors',
    domains=('ulaanbaatar', 'darkhan', 'erdenet'),
    workers=(
        ('press-1', 'ulaanbaatar'),
        ('press-2', 'darkhan'),
        ('press-3', 'erdenet'),
    ),
    entries=(
        ('entry-ub-1', 'ulaanbaatar'),
        ('entry-darkhan-1', 'darkhan'),
        ('entry-erdenet-1', 'erdenet'),
    ),
    kinds=(
        Kind('letter-check', True, 30, 1000, 1000, 3000, True),
        Kind('letter-print', False, 300, 4000, 4000, 20_000, True),
        Kind('archive', True, 2000, 8000, 8000, 60_000, False),
    ),
    law={'classes': ['archive'], 'deny_domains': ['darkhan']},
    law_class='archive',
    law_closes='darkhan',
    domain_out='erdenet',
    processors_milli=32_000,
    memory_mib=125_000,
)


def start_demo_site(plan: DemoSite) -> Site:
    """Start all processes of a cluster and wait until it serves."""
    site = Site()
    site.start_platform()
    folder = site.folder / 'cfg'
    folder.mkdir()
    plan.write_cfg(folder)
    for name, domain in plan.workers:
        site.start_worker(
            name,
            domain,
            processors_milli=plan.processors_milli,
            memory_mib=plan.memory_mib,
        )
    for entry, domain in plan.entries:
        site.start_entry(entry, domain)
    _cli(site, 'cfg', 'push', str(folder))
    site.wait_until_serving(len(plan.workers))
    return site


def _cli(site: Site, *words: str) -> int:
    accepted_ms = time.time_ns() // 1_000_000
    done = site.run_cli(*words)
    command = ' '.join(words[:2])
    print(f'$ gentianpulley {command}: exit {done.returncode}')
    print(done.stdout.rstrip().rpartition('\n')[2] or done.stderr.rstrip())
    return accepted_ms
