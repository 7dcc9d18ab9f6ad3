import contextlib

from standins import memory
from tests import conformance


class MemoryStoreTest(conformance.StoreConformance):
    @contextlib.asynccontextmanager
    async def open_store(self):
        store = memory.MemoryStore()
        yield store, store
