"""Names of the keys in the platform's key-value service.

All keys that an instance watches are below one prefix, so that one watch per
instance is enough. Job records are outside this prefix: they are read on
demand.
"""

from typing import Final

from gentianpulley.document import DocumentKind

CONTROL_PREFIX: Final = '/gentianpulley/control/'
MEMBERS_PREFIX: Final = f'{CONTROL_PREFIX}members/'
OWNERS_PREFIX: Final = f'{CONTROL_PREFIX}owners/'
DOCUMENTS_PREFIX: Final = f'{CONTROL_PREFIX}documents/'
JOBS_PREFIX: Final = '/gentianpulley/jobs/'
PAYLOADS_PREFIX: Final = '/gentianpulley/payloads/'
QUEUES_PREFIX: Final = '/gentianpulley/queues/'
PLACED_PREFIX: Final = '/gentianpulley/placed/'


def member_key(instance: str) -> str:
    """Return the key of an instance's member record, bound to its lease."""
    return f'{MEMBERS_PREFIX}{instance}'


def owners_key(failure_domain: str) -> str:
    """Return the key of the ownership record of a failure domain."""
    return f'{OWNERS_PREFIX}{failure_domain}'


def document_key(kind: DocumentKind) -> str:
    """Return the key of a versioned document."""
    return f'{DOCUMENTS_PREFIX}{kind}'


def job_key(request_key: str) -> str:
    """Return the key of a job record."""
    return f'{JOBS_PREFIX}{request_key}'


def payload_key(request_key: str) -> str:
    """Return the key of a job's payload, written once."""
    return f'{PAYLOADS_PREFIX}{request_key}'


def queue_prefix(coordinator: str) -> str:
    """Return the prefix of the index of a coordinator's queued jobs."""
    return f'{QUEUES_PREFIX}{coordinator}/'


def queue_key(coordinator: str, request_key: str) -> str:
    """Return the index key of one queued job."""
    return f'{queue_prefix(coordinator)}{request_key}'


def placed_prefix(worker: str) -> str:
    """Return the prefix of the index of a worker's placed jobs."""
    return f'{PLACED_PREFIX}{worker}/'


def placed_key(worker: str, request_key: str) -> str:
    """Return the index key of one placed job."""
    return f'{placed_prefix(worker)}{request_key}'
