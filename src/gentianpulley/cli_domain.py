"""Commands that take failure domains out of service and bring them in."""

from dataclasses import dataclass
from typing import Final

from cleo.helpers import argument

from gentianpulley.cfg import SiteCfg, decode_cfg
from gentianpulley.cli_cfg import TIMEOUT
from gentianpulley.cli_command import COMMON_OPTIONS, SiteCommand
from gentianpulley.cli_rollout import await_in_force
from gentianpulley.document import (
    Document,
    DocumentKind,
    decode_domain_states,
)
from gentianpulley.document_push import bring_in, read_document, take_out
from gentianpulley.errors import RequestRefusedError
from gentianpulley.messages import domain_line, unknown_domain
from gentianpulley.operator_site import OperatorSite
from gentianpulley.result_code import (
    NOT_IN_FORCE,
    OK,
    UNKNOWN_DOMAIN,
    ResultCode,
)

NAME: Final = argument('name', 'The failure domain.')


@dataclass(frozen=True, slots=True)
class DomainRow:
    """One failure domain and its state."""

    failure_domain: str
    region: str
    is_out: bool


class _DomainChangeCommand(SiteCommand):
    arguments = [NAME]
    options = [*COMMON_OPTIONS, TIMEOUT]

    def run_on(self, site: OperatorSite) -> ResultCode:
        """Change the state and report where it is in force."""
        name = self.argument('name')
        if name not in stored_cfg(site).failure_domains:
            raise RequestRefusedError(UNKNOWN_DOMAIN, unknown_domain(name))
        document = self.change(site, name)
        site.push(document)
        rollout = await_in_force(
            site,
            DocumentKind.DOMAINS,
            document.revision,
            self.option('timeout'),
        )
        self.emit(rollout, *rollout.lines())
        return OK if rollout.is_complete else NOT_IN_FORCE

    def change(self, site: OperatorSite, name: str) -> Document:
        """Write the new state to the store."""
        raise NotImplementedError


class DomainOutCommand(_DomainChangeCommand):
    """Takes a failure domain out."""

    name = 'domain out'
    description = 'Take a failure domain out: nothing more starts there.'

    def change(self, site: OperatorSite, name: str) -> Document:
        """Write the new state to the store."""
        return take_out(site.store, name)


class DomainInCommand(_DomainChangeCommand):
    """Brings a failure domain back."""

    name = 'domain in'
    description = 'Bring a failure domain back into service.'

    def change(self, site: OperatorSite, name: str) -> Document:
        """Write the new state to the store."""
        return bring_in(site.store, name)


class DomainListCommand(SiteCommand):
    """Lists the failure domains."""

    name = 'domain list'
    description = 'List the failure domains and their states.'

    def run_on(self, site: OperatorSite) -> ResultCode:
        """Print a line for each failure domain."""
        stored = read_document(site.store, DocumentKind.DOMAINS)
        states = decode_domain_states(stored.body or '{}')
        rows = tuple(
            DomainRow(name, domain.region, states.is_out(name))
            for name, domain in stored_cfg(site).failure_domains.items()
        )
        self.emit(
            rows,
            *(
                domain_line(row.failure_domain, row.region, is_out=row.is_out)
                for row in rows
            ),
        )
        return OK


def stored_cfg(site: OperatorSite) -> SiteCfg:
    """Return the accepted cfg, an empty one before the first."""
    stored = read_document(site.store, DocumentKind.CFG)
    return decode_cfg((stored.body or '{}').encode())
