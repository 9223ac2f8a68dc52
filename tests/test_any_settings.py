"""No file, however malformed, raises more than the reader of files expects."""

import json
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianpulley.cfg_folder import read_cfg
from gentianpulley.errors import SettingsError
from gentianpulley.json_validation import ErrorList, parse_object
from gentianpulley.platform.daemon_settings import (
    parse_platform_daemon_settings,
)
from tests.test_decoders import JSON

SETTINGS = {
    'node': 'front-a-1',
    'zone': 'a',
    'ip': '10.1.0.13',
    'listen.front': '10.1.0.13:8161',
    'listen.ready': '10.1.0.13:8167',
    'platform.addr': '10.200.1.7:8169',
    'bounds.contact_ms': '3000',
    'bounds.grace_s': '6',
    'bounds.max_hold_ms': '6000',
    'bounds.stop_ms': '900',
    'bounds.harm_ms': '4000',
    'bounds.status_s': '120',
    'limits.cpu_share': '0.5',
    'limits.link_mbps': '10',
}


@settings(max_examples=200, deadline=None)
@given(
    name=st.sampled_from(sorted(SETTINGS)),
    setting=st.text(max_size=12)
    | st.sampled_from(['nan', 'inf', '-inf', '1e999', '-0', '1_0', '٣']),
)
def test_any_setting(name: str, setting: str) -> None:
    """A length that is no finite number ended the process at a reload."""
    lines = [
        f'{each}={text}' for each, text in (SETTINGS | {name: setting}).items()
    ]
    with suppress(SettingsError):
        parse_platform_daemon_settings('\n'.join(lines))


@settings(max_examples=100, deadline=None)
@given(text=st.text(max_size=200) | JSON.map(json.dumps))
def test_any_file_of_the_cfg_folder(text: str) -> None:
    errors = ErrorList()
    read_cfg(parse_object(text, 'file', errors), errors)
