"""Reads all entries below a prefix, page by page.

The cost of a read grows with the amount of stored data, and so does the
probability that it fails. Pages that were read are not read again: the next
attempt continues after the last key.
"""

from collections.abc import Iterator

from gentianpulley.store import Entry, Store


class PrefixScan:
    """One read of a prefix, which can be resumed after a failure.

    `revision` is that of the first page: the pages are not a snapshot, and a
    watch from this revision repeats the changes made while they were read.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        """Start before the first page; read nothing yet."""
        self.revision = 0
        self.is_complete = False
        self._store = store
        self._prefix = prefix
        self._last_key = ''

    def pages(self) -> Iterator[tuple[Entry, ...]]:
        """Yield the pages that have not been read yet.

        Raises `StoreError` when a read fails; call it again to continue.
        """
        while not self.is_complete:
            yield self.next_page()

    def next_page(self) -> tuple[Entry, ...]:
        """Return the next page; a page that failed is requested again."""
        page = self._store.read_page(self._prefix, self._last_key)
        if not self._last_key:
            self.revision = page.revision
        self.is_complete = page.is_last
        if page.entries:
            self._last_key = page.entries[-1].key
        return page.entries
