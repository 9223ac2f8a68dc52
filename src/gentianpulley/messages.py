"""Message texts for users; each function is named after what its text says.

The lines of tables are defined in `report_lines`.

Texts state what happened and, where a user can act, what to do. They contain
no result codes; those are sent alongside the texts.
"""

from collections.abc import Iterable

# Files, settings and cfg.


def bad_setting(name: str, raw_value: str) -> str:
    """Text for a setting that is missing or cannot be used."""
    return f'setting "{name}" is missing or not usable: "{raw_value}"'


def machine_list_failed(status: int) -> str:
    """Text for a machine list that the platform did not return."""
    return f'the platform answered {status} to a question for its machines'


def advice_query_failed(status: int) -> str:
    """Text for a query that the advice service did not accept."""
    return f'the advice service answered {status}'


def worker_call_failed(status: int, detail: str) -> str:
    """Text for a worker's response that is not a success."""
    return f'the worker answered {status}: {detail}'


def invalid_syntax(detail: str) -> str:
    """Text for a file that is not JSON with comments."""
    return f'invalid JSON: {detail}'


def duplicate_key(name: str) -> str:
    """Text for a key that appears twice in one object."""
    return f'key "{name}" appears twice in one object'


def not_an_object() -> str:
    """Text for a value that should be a JSON object."""
    return 'expected a JSON object'


def missing_key(name: str) -> str:
    """Text for a key that has no default and is missing."""
    return f'missing key "{name}"'


def unknown_key() -> str:
    """Text for a key that nothing reads."""
    return 'unknown key'


def file_unreadable(path: str, exc: Exception) -> str:
    """Text for a file that cannot be read."""
    return f'cannot read {path}: {exc}'


def settings_errors(listed: str) -> str:
    """Text for settings with errors, listed one per line."""
    return f'the settings have faults; nothing was started:\n{listed}'


def cfg_errors(listed: str) -> str:
    """Text for a cfg with errors, listed one per line."""
    return f'the cfg has faults; nothing was changed:\n{listed}'


def empty_folder(folder: str) -> str:
    """Text for a cfg folder without files."""
    return f'{folder} has no .json or .jsonc files'


def bad_address(text: str) -> str:
    """Text for an address that is not host:port."""
    return f'"{text}" is not an address of the form host:port'


def empty_name() -> str:
    """Text for a name that is empty."""
    return 'must not be empty'


def not_positive() -> str:
    """Text for a number that must be positive."""
    return 'must be greater than zero'


def fraction_out_of_range() -> str:
    """Text for a fraction outside the range zero to one."""
    return 'must lie between 0 and 1, both excluded'


def resumable_and_urgent() -> str:
    """Text for a class that is both urgent and resumable."""
    return 'a class cannot be both urgent and resumable'


def undefined_name(name: str) -> str:
    """Text for a rule that refers to an undefined name."""
    return f'"{name}" is not defined in the cfg'


def both_allowed_and_denied(domains: Iterable[str]) -> str:
    """Text for a rule that allows and denies the same domains."""
    listed = ', '.join(domains)
    return f'allows and denies the same failure domains: {listed}'


def naive_time() -> str:
    """Text for a time without a time zone offset."""
    return 'time needs an offset, such as 2027-01-01T00:00:00+00:00'


def rule_never_starts() -> str:
    """Text for a rule whose period is empty."""
    return 'not_before is not earlier than not_after; nothing could start'


def class_has_no_domain(work_class: str) -> str:
    """Text for rules that together exclude every domain for a class."""
    return (
        f'together with other rules it leaves class "{work_class}" '
        'no failure domain'
    )


# Callers' requests.


def malformed_body(detail: str) -> str:
    """Text for a request body that cannot be decoded."""
    return f'malformed request: {detail}'


def bad_request_key() -> str:
    """Text for an invalid request key."""
    return (
        'request_key must have 1 to 128 characters out of '
        'letters, digits, ".", "_", ":" and "-"'
    )


def unknown_class(name: str) -> str:
    """Text for a class that the cfg does not have."""
    return f'the cfg has no class "{name}"'


def unknown_team(name: str) -> str:
    """Text for a team that the cfg does not have."""
    return f'the cfg has no team "{name}"'


def idempotent_mismatch(name: str) -> str:
    """Text for an `idempotent` declaration that contradicts the class."""
    return f'"idempotent" differs from that of class "{name}"'


def size_not_positive() -> str:
    """Text for a declared size that is out of range."""
    return 'processors and memory must be positive, the rest not negative'


def impossible_size() -> str:
    """Text for a declared size that no worker can hold."""
    return 'no known worker has the declared processors, memory and devices'


def payload_too_large(limit_bytes: int) -> str:
    """Text for a payload that is too large to be recorded."""
    return f'payloads of recorded work are limited to {limit_bytes} bytes'


def deadline_in_past(deadline_ms: int) -> str:
    """Text for a deadline that has passed."""
    return f'deadline_ms {deadline_ms} has passed'


def rule_forbids(name: str) -> str:
    """Text for a rule that forbids a start."""
    return f'rule "{name}" forbids it'


def rule_holds(name: str) -> str:
    """Text for a rule that makes a start wait."""
    return f'rule "{name}" holds it'


# Other processes.


def http_unreachable(address: str, exc: Exception) -> str:
    """Text for an HTTP server that cannot be reached."""
    return f'cannot connect to {address}: {exc}'


def http_silent(address: str, exc: Exception) -> str:
    """Text for an HTTP response that did not arrive completely."""
    return f'no whole answer from {address}: {exc}'


def store_refused(path: str, status: int) -> str:
    """Text for a call that the store refused."""
    return f'the store answered {path} with status {status}'


def write_unconfirmed(key: str) -> str:
    """Text for a write that was not confirmed in time."""
    return f'the write of {key} was not settled in time'


def damaged_record(key: str) -> str:
    """Text for a record that cannot be read."""
    return f'the record {key} cannot be read'


def instance_list_refused(status: int) -> str:
    """Text for an instance list that cannot be read."""
    return f'the instance list answered with status {status}'


def worker_refused(text: str) -> str:
    """Text for a command that a worker refused."""
    return f'the worker refused: {text}'


def answer_damaged(task_id: str) -> str:
    """Text for an answer that is incomplete or of another task."""
    return f'the answer for task {task_id} is damaged or belongs to another'


def peer_unreachable(address: str, exc: Exception) -> str:
    """Text for a peer that cannot be reached."""
    return f'cannot connect to peer {address}: {exc}'


def peer_silent(address: str, exc: Exception) -> str:
    """Text for a peer that did not send a complete response."""
    return f'no whole answer from peer {address}: {exc!r}'


def peer_unknown(instance: str) -> str:
    """Text for a peer without a known address."""
    return f'no address is known for instance "{instance}"'


def malformed_peer_message(detail: str) -> str:
    """Text for a malformed peer message."""
    return f'malformed peer message: {detail}'


def illegal_transition(request_key: str, state: str) -> str:
    """Text for a transition that a job's state does not allow."""
    return f'job {request_key} is {state}; the change is not allowed'


# The daemon.


def daemon_usage() -> str:
    """Text for invalid arguments of the daemon."""
    return 'usage: gentianpulleyd SETTINGS\n'


def cannot_listen(exc: Exception) -> str:
    """Text for a server address that the daemon cannot listen on."""
    return f'cannot listen: {exc}\n'


# Operators.


def change_conflict(revision: int) -> str:
    """Text for a change that conflicts with one accepted before it."""
    return (
        f'another change was accepted first; revision {revision} stands. '
        'Look at it with "cfg diff", then push again'
    )


def cfg_is_valid(rules: int) -> str:
    """Text for a cfg without errors."""
    return f'valid; {rules} rules'


def revision_active(instance: str, revision: int) -> str:
    """Text for an instance on which a change is active."""
    return f'{instance}: revision {revision} in force'


def revision_not_active(instance: str, revision: int, problem: str) -> str:
    """Text for an instance on which a change is not active yet."""
    if problem:
        return f'{instance}: NOT CONFIRMED, unreachable: {problem}'
    return f'{instance}: NOT YET in force, still at revision {revision}'


def revision_active_everywhere(revision: int) -> str:
    """Text for a change that is active on all instances."""
    return f'revision {revision} is in force on every listed instance'


def no_entry_listed() -> str:
    """Text for a cluster without any listed entry instance."""
    return 'no entry instance is listed; nothing can be confirmed'


def no_entry_reachable() -> str:
    """Text for a cluster whose entry instances accept no connection."""
    return 'no entry instance could be connected to; nothing was sent'


def unexpected_response(detail: str) -> str:
    """Text for an instance's response that cannot be decoded."""
    return f'the instance sent an unexpected answer: {detail}'


def unknown_domain(name: str) -> str:
    """Text for a failure domain that the cfg does not have."""
    return f'the cfg has no failure domain "{name}"'


def domain_line(name: str, region: str, *, is_out: bool) -> str:
    """Text for one failure domain and its state."""
    state = 'OUT' if is_out else 'in'
    return f'{name:20} {region:20} {state}'


def not_a_number(name: str, text: str) -> str:
    """Text for an option that must be a whole number."""
    return f'--{name} takes a whole number, not "{text}"'


def problem_line(instance: str, problem: str) -> str:
    """Text for an instance that could not be reached."""
    return f'{instance}: UNREACHABLE: {problem}'
