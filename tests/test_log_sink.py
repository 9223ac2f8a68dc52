"""Logging never blocks a thread, and dropped lines are reported."""

import json
import os
import select
import time

import eliot
import pytest

from gentianpulley import log_sink
from gentianpulley.log_sink import LogSink
from gentianpulley.logs import EventLog


def _lines(descriptor: int) -> list[dict[str, object]]:
    text = os.read(descriptor, 10_000_000)
    return [json.loads(line) for line in text.splitlines()]


def test_lines_are_json_without_the_librarys_fields() -> None:
    reading, writing = os.pipe()
    sink = LogSink(writing)
    sink({'message_type': 'a', 'job_id': '7', 'task_uuid': 'u'})
    sink.flush()
    assert _lines(reading) == [{'message_type': 'a', 'job_id': '7'}]


def test_a_line_draws_no_random_id(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each line took a system call for an id that is not written."""
    lines: list[dict[str, object]] = []
    drawn: list[int] = []

    def draw(size: int) -> bytes:
        drawn.append(size)
        return bytes(size)

    eliot.add_destinations(lines.append)
    monkeypatch.setattr(os, 'urandom', draw)
    EventLog().process_state('started')
    eliot.remove_destination(lines.append)
    assert not drawn
    (line,) = lines
    assert line['message_type'] == 'gentianpulley:process_state'
    assert line['state'] == 'started'
    assert isinstance(line['timestamp'], float)


def test_a_full_pipe_holds_nobody_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_sink, 'MAX_LINES_PER_S', 1_000_000)
    _, writing = os.pipe()
    sink = LogSink(writing)
    started_s = time.monotonic()
    for number in range(5000):
        sink({'message_type': 'x' * 200, 'number': number})
    assert time.monotonic() - started_s < 2
    assert sink.dropped_lines >= 5000 - log_sink.MAX_QUEUED_LINES - 600


def test_a_flood_is_bounded_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    seconds = [7.0]
    monkeypatch.setattr(log_sink, 'monotonic', lambda: seconds[0])
    reading, writing = os.pipe()
    sink = LogSink(writing)
    over = 25
    for number in range(log_sink.MAX_LINES_PER_S + over):
        sink({'number': number})
    seconds[0] += 1
    sink({'number': -1})
    sink.flush()
    time.sleep(0.3)
    lines = _lines(reading)
    assert len(lines) == log_sink.MAX_LINES_PER_S + 1
    assert lines[-1] == {'number': -1, 'left_out': over}


def test_each_write_holds_whole_lines_and_is_taken_in_one_piece(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reading, writing = os.pipe()
    writes: list[bytes] = []
    write = os.write

    def record_write(descriptor: int, text: bytes) -> int:
        if descriptor == writing:
            writes.append(bytes(text))
        return write(descriptor, text)

    monkeypatch.setattr(os, 'write', record_write)
    sink = LogSink(writing)
    long = 'x' * 5000
    for number in range(100):
        sink({'number': number, 'text': long if number == 50 else 'y' * 150})
    sink.flush()
    assert [line['number'] for line in _lines(reading)] == list(range(100))
    assert all(text.endswith(b'\n') for text in writes)
    assert all(
        len(text) <= select.PIPE_BUF or text.count(b'\n') == 1
        for text in writes
    )
