"""Counters, gauges and latencies in the Prometheus text format."""

import pytest

from gentianpulley.counters import create_counters


def test_counts_gauges_and_latencies_are_rendered() -> None:
    counters = create_counters()
    counters.add('calls')
    counters.add('calls', 2)
    counters.set('waiting', 7)
    for latency_us in (100, 100, 5000):
        counters.observe('answer', latency_us)
    lines = counters.render().splitlines()
    assert 'gentianpulley_calls_total 3' in lines
    assert 'gentianpulley_waiting 7' in lines
    assert 'gentianpulley_answer_us_count 3' in lines
    assert 'gentianpulley_answer_us{quantile="0.5"} 100' in lines


def test_a_latency_beyond_the_range_is_kept_at_its_end() -> None:
    counters = create_counters()
    counters.observe('answer', 10**12)
    counters.observe('answer', 0)
    assert 'gentianpulley_answer_us_count 2' in counters.render()


def test_a_block_that_raises_is_timed_too() -> None:
    counters = create_counters()
    with pytest.raises(ValueError, match='no'), counters.timed('answer'):
        raise ValueError('no')
    assert 'answer_us_count 1' in counters.render()
