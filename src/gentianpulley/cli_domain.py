"""Commands that take failure domains out of service and return them."""

from dataclasses import dataclass
from typing import Final

from cleo.helpers import argument

from gentianpulley.cfg import ClusterCfg, decode_cfg
from gentianpulley.cli_cfg import TIMEOUT
from gentianpulley.cli_command import COMMON_OPTIONS, ClusterCommand
from gentianpulley.cli_rollout import wait_until_active
from gentianpulley.document import (
    Document,
    DocumentKind,
    decode_domain_states,
)
from gentianpulley.document_push import (
    return_domain_to_service,
    read_document,
    take_domain_out_of_service,
)
from gentianpulley.errors import RequestRefusedError
from gentianpulley.messages import domain_line, unknown_domain
from gentianpulley.cluster_client import ClusterClient
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


class _DomainChangeCommand(ClusterCommand):
    arguments = [NAME]
    options = [*COMMON_OPTIONS, TIMEOUT]

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Change the state and report on which instances it is active."""
        name = self.argument('name')
        if name not in stored_cfg(client).failure_domains:
            raise RequestRefusedError(UNKNOWN_DOMAIN, unknown_domain(name))
        document = self.change(client, name)
        client.push(document)
        rollout = wait_until_active(
            client,
            DocumentKind.DOMAINS,
            document.revision,
            self.option('timeout'),
        )
        self.emit(rollout, *rollout.lines())
        return OK if rollout.is_complete else NOT_IN_FORCE

    def change(self, client: ClusterClient, name: str) -> Document:
        """Write the new state to the store."""
        raise NotImplementedError


class DomainOutCommand(_DomainChangeCommand):
    """Takes a failure domain out of service."""

    name = 'domain out'
    description = 'Take a failure domain out: nothing more starts there.'

    def change(self, client: ClusterClient, name: str) -> Document:
        """Write the new state to the store."""
        return take_domain_out_of_service(client.store, name)


class DomainInCommand(_DomainChangeCommand):
    """Returns a failure domain to service."""

    name = 'domain in'
    description = 'Bring a failure domain back into service.'

    def change(self, client: ClusterClient, name: str) -> Document:
        """Write the new state to the store."""
        return return_domain_to_service(client.store, name)


class DomainListCommand(ClusterCommand):
    """Lists the failure domains."""

    name = 'domain list'
    description = 'List the failure domains and their states.'

    def run_with_client(self, client: ClusterClient) -> ResultCode:
        """Print a line for each failure domain."""
        stored = read_document(client.store, DocumentKind.DOMAINS)
        states = decode_domain_states(stored.body or '{}')
        rows = tuple(
            DomainRow(name, domain.region, states.is_out(name))
            for name, domain in stored_cfg(client).failure_domains.items()
        )
        self.emit(
            rows,
            *(
                domain_line(row.failure_domain, row.region, is_out=row.is_out)
                for row in rows
            ),
        )
        return OK


def stored_cfg(client: ClusterClient) -> ClusterCfg:
    """Return the accepted cfg; empty before the first one is pushed."""
    stored = read_document(client.store, DocumentKind.CFG)
    return decode_cfg((stored.body or '{}').encode())
