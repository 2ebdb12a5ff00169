"""Reads all keys under a prefix, which a store may return in several pages."""

from returns import result

from eelgrassgate.store import base


async def read_all(
    store: base.Store, prefix: str
) -> result.Result[base.Page, base.StoreError]:
    """Read the pages of a prefix; fails unless all of them were read.

    Pages may differ in revision. The result has that of the first, which is
    the oldest, so that a watch from there misses nothing.
    """
    found_by_key: dict[str, base.Record] = {}
    first_revision = 0
    after = ""
    while True:
        answer = await store.read_range(prefix, after=after)
        if isinstance(answer, result.Failure):
            return result.Failure(answer.failure())
        page = answer.unwrap()
        first_revision = first_revision or page.revision
        found_by_key.update((one.key, one) for one in page.records)
        if not page.has_more or not page.records:
            break
        after = page.records[-1].key
    return result.Success(
        base.Page(tuple(found_by_key.values()), first_revision)
    )
