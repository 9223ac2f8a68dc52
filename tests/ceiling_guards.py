"""Disables the guards of customers' ceilings and shares, one at a time.

As in `tests.guards`, every function replaces a member from the outside.
"""

from collections.abc import Callable
from typing import Any

from gentianpulley.cluster import scheduler, worker_lifecycle
from gentianpulley.cluster.customer_shares import ArrivalRates
from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.customers import Customers
from gentianpulley.cluster.leader import Leader
from gentianpulley.cluster.unseen_tasks import UnseenTasks
from tests.cluster_guards import replace


def ceilings() -> None:
    """Start tasks whatever their customers have running."""
    replace(CustomerUsage, 'allows', lambda *_: True)


def unseen_usage() -> None:
    """Count only the runs that workers have listed to this leader."""
    replace(UnseenTasks, 'count', lambda *_: {})


def kept_usage() -> None:
    """Stop counting runs once the incarnation of their worker has ended."""
    keep = worker_lifecycle._keep_beyond_incarnation

    def keep_uncounted(reservation: Any, usage: Any, now_ms: int) -> None:
        keep(reservation, CustomerUsage(), now_ms)

    replace(worker_lifecycle, '_keep_beyond_incarnation', keep_uncounted)
    replace(worker_lifecycle, '_discount', lambda *_: None)


def customers_amid_load() -> None:
    """Tell a leader that has not loaded yet of no other customers."""
    tell = Leader.replace_customers

    def replace_customers(leader: Any, customers: Customers) -> None:
        service = leader.scheduler_service
        if service is None or service.are_jobs_loaded:
            tell(leader, customers)

    replace(Leader, 'replace_customers', replace_customers)


def shares() -> None:
    """Keep the order that jobs have without customers."""
    replace(scheduler, 'in_share_order', lambda groups, *_: iter(groups))


def excess() -> None:
    """Take no job for one beyond what its customer is owed."""
    replace(ArrivalRates, 'mark_excess', lambda *_: None)


CEILING_GUARDS: dict[str, Callable[[], None]] = {
    'ceilings': ceilings,
    'customers-amid-load': customers_amid_load,
    'excess': excess,
    'kept-usage': kept_usage,
    'shares': shares,
    'unseen-usage': unseen_usage,
}
