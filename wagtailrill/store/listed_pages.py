"""Collects the pages of one list of the keys with a prefix.

Mirrors of store keys use it.
"""

from .models import Item, Listed


class ListedPages:
    """The items of the pages so far; `revision` is that of the first page.

    The pages are read at different revisions. A watch that starts at the first one's
    misses no change between them.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 0

    def add(self, page: Listed) -> str:
        """Add a page; return the key after which the next one begins, if there is."""
        self.revision = self.revision or page.revision
        self.items.update((item.key, item) for item in page.items)
        return page.items[-1].key if page.has_more and page.items else ""
