"""The table of result codes and its documentation page."""

from pathlib import Path

from gentianpulley.result_code import Outcome, all_codes

PAGE = Path(__file__).parent.parent / 'docs' / 'RESULT_CODES.md'


def test_page_has_every_code_as_registered() -> None:
    rows = [
        tuple(cell.strip() for cell in line.strip('|\n').split('|'))
        for line in PAGE.read_text().splitlines()
        if line.startswith('| ') and line[2].isdigit()
    ]
    assert rows == [
        (
            str(code.number),
            code.name,
            code.outcome.value,
            str(code.http_status),
            str(code.exit_status),
            code.meaning,
        )
        for code in all_codes()
    ]


def test_exit_status_is_zero_only_for_success() -> None:
    for code in all_codes():
        succeeded = code.name in {'OK', 'ACCEPTED', 'RUNNING', 'HELD'}
        assert (code.exit_status == 0) is succeeded
        assert code.exit_status < 126


def test_hundreds_group_the_outcomes() -> None:
    expected = {
        0: {Outcome.DONE},
        1: {Outcome.PENDING},
        2: {Outcome.NOT_RUN},
        3: {Outcome.NOT_RUN},
        4: {Outcome.UNKNOWN},
        6: {Outcome.OPERATOR, Outcome.UNKNOWN},
    }
    for code in all_codes():
        assert code.outcome in expected[code.number // 100]
