"""Reading all entries below a prefix, page by page.

The work of a read grows with what is stored, and so does the chance that it
breaks. What was read stays read: the next attempt goes on after the last key.
"""

from collections.abc import Iterator

from gentianpulley.store import Entry, Store


class PrefixScan:
    """One read of a prefix, which may be taken up again after it broke.

    `revision` is that of the first page: pages are no snapshot, and a watch
    from there shows again what changed while they were read.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        """Read nothing yet."""
        self.revision = 0
        self.is_complete = False
        self._store = store
        self._prefix = prefix
        self._after = ''

    def pages(self) -> Iterator[tuple[Entry, ...]]:
        """Yield the pages that were not read yet.

        Raises `StoreError` where the read breaks; call it again to go on.
        """
        while not self.is_complete:
            yield self.next_page()

    def next_page(self) -> tuple[Entry, ...]:
        """Return the next page; one that failed is asked for again."""
        page = self._store.read_page(self._prefix, self._after)
        if not self._after:
            self.revision = page.revision
        self.is_complete = page.is_last
        if page.entries:
            self._after = page.entries[-1].key
        return page.entries
