"""Finds the line on which each key of a JSON-with-comments text stands.

The JSON library reports values without positions, but a fault in a cfg file
has to name its line. Texts passed here have been parsed before, so the scan
need not check the syntax again.

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
    """The state of one scan: open containers and the last string seen."""

    line: int = 1
    path: list[str] = field(default_factory=list)
    last_string: str = ''
    lines: dict[KeyPath, int] = field(default_factory=dict)

    def see(self, token: str) -> None:
        """Take the next token into account."""
        if token.startswith('"'):
            self.last_string = token[1:-1]
        elif token in {'{', '['}:
            self.path.append('')
        elif token in {'}', ']'}:
            self.path.pop()
        elif token == ':':
            self._see_key()

    def _see_key(self) -> None:
        self.path[-1] = self.last_string
        named = tuple(part for part in self.path if part)
        self.lines[named] = self.line


def find_key_lines(text: str) -> dict[KeyPath, int]:
    """Return the line, counted from one, of each key path in `text`."""
    scan = _Scan()
    for match in _TOKEN.finditer(text):
        token = match.group()
        if not token.startswith(_COMMENT_STARTS):
            scan.see(token)
        scan.line += token.count('\n')
    return scan.lines
