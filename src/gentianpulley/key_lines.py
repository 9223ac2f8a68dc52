"""Finds the line of each key in a JSON-with-comments text.

The JSON library returns values without positions, but an error in a cfg file
must be reported with its line. Texts passed here have already been parsed, so
the scan does not check the syntax again.

Example: for the text `{"a": {"b": 1}}` the paths `('a',)` and `('a', 'b')`
both map to line 1.
"""

import re
from dataclasses import dataclass, field
from typing import Final

KeyPath = tuple[str, ...]

_TOKEN: Final = re.compile(
    r'//[^\n]*|/\*.*?\*/|"(?:\\.|[^"\\])*"|[{}\[\]:,]|\n',
    re.DOTALL,
)
_COMMENT_STARTS: Final = ('//', '/*')


@dataclass
class _Scan:
    """The state of one scan: open containers and the last string."""

    line: int = 1
    path: list[str] = field(default_factory=list)
    last_string: str = ''
    lines: dict[KeyPath, int] = field(default_factory=dict)

    def feed(self, token: str) -> None:
        """Update the state with the next token."""
        if token.startswith('"'):
            self.last_string = token[1:-1]
        elif token in {'{', '['}:
            self.path.append('')
        elif token in {'}', ']'}:
            self.path.pop()
        elif token == ':':
            self._record_key()

    def _record_key(self) -> None:
        self.path[-1] = self.last_string
        key_path = tuple(part for part in self.path if part)
        self.lines[key_path] = self.line


def find_key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line, counted from one, of each key path in `text`."""
    scan = _Scan()
    for match in _TOKEN.finditer(text):
        token = match.group()
        if not token.startswith(_COMMENT_STARTS):
            scan.feed(token)
        scan.line += token.count('\n')
    return scan.lines
