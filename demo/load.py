"""Callers of a demo cluster: threads that send all kinds of work."""

import json
import random
import threading
import time
from base64 import b64decode, b64encode
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from urllib3.exceptions import HTTPError

from demo.sites import DemoSite, Kind
from standins.site import Site

CALLERS_PER_KIND = 3
POLL_MS = 2000
FINISH_S = 40.0


@dataclass
class Sent:
    """One request and the last response about it."""

    key: str
    kind: Kind
    outcome: str = 'unknown'
    code: int = -1
    own_answer: bool = True


@dataclass
class Load:
    """Sends work until `finish` is called."""

    plan: DemoSite
    site: Site
    sent: list[Sent] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        """Start the callers."""
        for kind in self.plan.kinds:
            for number in range(CALLERS_PER_KIND):
                name = f'{kind.work_class}-{number}'
                thread = threading.Thread(
                    target=self._run_caller, args=(kind, name), daemon=True
                )
                thread.start()
                self.threads.append(thread)

    def keep_on(self, seconds: float) -> None:
        """Let the callers continue for some seconds."""
        time.sleep(seconds)

    def finish(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self.stopping.set()
        until = time.monotonic() + FINISH_S
        for thread in self.threads:
            thread.join(max(0.1, until - time.monotonic()))

    def summary(self) -> str:
        """Return a line for each kind of work."""
        lines = []
        for kind in self.plan.kinds:
            outcomes = Counter(
                sent.outcome for sent in self.sent if sent.kind is kind
            )
            parts = [
                f'{outcomes[name]} {name}'
                for name in ('done', 'not-run', 'unknown', 'pending')
            ]
            lines.append(f'  {kind.work_class:14} {", ".join(parts)}')
        record = self.site.record()
        evicted = sum(
            line['event'] == 'stopped' and bool(line['task_id'])
            for line in record
        )
        lines.append(f'  evicted or stopped on workers: {evicted}')
        return '\n'.join(lines)

    def _run_caller(self, kind: Kind, name: str) -> None:
        number = 0
        while not self.stopping.is_set():
            number += 1
            sent = Sent(f'{name}-{number}', kind)
            self.sent.append(sent)
            self._send(sent)
            time.sleep(0.05 if kind.waits else 0.4)

    def _send(self, sent: Sent) -> None:
        wait_ms = sent.kind.deadline_ms if sent.kind.waits else 0
        body = _body(self.plan, sent)
        until = time.monotonic() + sent.kind.deadline_ms / 1000
        answer = self._call_any_entry(f'/v1/requests?wait_ms={wait_ms}', body)
        while _is_open(answer, sent) and time.monotonic() < until:
            path = f'/v1/requests/{sent.key}?wait_ms={POLL_MS}'
            answer = self._call_any_entry(path, None)
            time.sleep(0.1)
        if answer is not None:
            sent.outcome = answer['outcome']
            sent.code = answer['code']
            sent.own_answer = _is_own(sent, answer)

    def _call_any_entry(self, path: str, body: dict[str, Any] | None) -> Any:
        """Call a random running entry instance, as a load balancer would."""
        names = [name for name, _ in self.plan.entries]
        random.shuffle(names)
        for name in names:
            if self.site.is_running(name):
                with suppress(HTTPError):
                    method = 'GET' if body is None else 'POST'
                    return self.site.call(name, method, path, body)
                return None
        return None


def _is_open(answer: Any, sent: Sent) -> bool:
    """Return whether polling can still find the outcome of recorded work."""
    if sent.kind.waits and sent.kind.is_idempotent:
        return False
    return answer is None or answer['outcome'] in {'pending', 'unknown'}


def _is_own(sent: Sent, answer: Any) -> bool:
    if answer['code'] != 0:
        return True
    body = b64decode(answer['answer'])
    return body.startswith(sent.key.encode()) and (
        len(body) == answer['answer_length']
    )


def _body(plan: DemoSite, sent: Sent) -> dict[str, Any]:
    kind = sent.kind
    task = json.dumps({'run_ms': kind.run_ms, 'echo': sent.key})
    return {
        'request_key': sent.key,
        'work_class': kind.work_class,
        'team': plan.team,
        'need': {
            'processors_milli': kind.processors_milli,
            'memory_mib': kind.memory_mib,
        },
        'deadline_ms': int(time.time() * 1000) + kind.deadline_ms,
        'idempotent': kind.is_idempotent,
        'payload': b64encode(task.encode()).decode(),
    }
