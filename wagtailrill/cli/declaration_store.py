"""The declaration in the platform store, as operators read and change it."""

import anyio
from expression import Error, Ok, Result

from ..declaration.parse import parse_declaration
from ..native.configuration import NativeConfigurationDecoder
from ..store.models import (
    Commit,
    Committed,
    Expected,
    Found,
    Get,
    Item,
    Put,
    Store,
    StoreError,
    StoreErrorKind,
)
from .const import STORE_PATIENCE_S, STORE_RETRY_S, ExitCode
from .models import Accepted, Changed, Failed, Loaded, WriteOutcome

_MAYBE = "The write may have taken effect; run `wagtailrillctl export` to see."


class DeclarationStore:
    """Reads and writes the declaration; repeats calls while the store is silent."""

    def __init__(
        self,
        store: Store,
        deployment: str,
        patience_s: float = STORE_PATIENCE_S,
    ) -> None:
        self.key = NativeConfigurationDecoder(deployment).get_declaration_key()
        self._store = store
        self._patience_s = patience_s

    async def async_load(self) -> Result[Loaded, Failed]:
        """Return what is stored."""
        end_s = anyio.current_time() + self._patience_s
        while True:
            match await self._store.async_call(Get(self.key)):
                case Result(tag="ok", ok=Found(item)):
                    return Ok(_loaded(item))
                case Result(tag="error", error=error):
                    if anyio.current_time() >= end_s:
                        return Error(Failed(ExitCode.UNREACHABLE, _sentence(error)))
            await anyio.sleep(STORE_RETRY_S)

    async def async_write(self, text: str, revision: int) -> WriteOutcome:
        """Replace the declaration if its revision is still the given one.

        A write without an answer is read back. It is repeated while the revision is
        the old one, because compare-and-swap lets only one of the writes take effect.
        """
        document = text.encode()
        end_s = anyio.current_time() + self._patience_s
        uncertain = False
        while True:
            commit = Commit((Expected(self.key, revision),), (Put(self.key, document),))
            match await self._store.async_call(commit):
                case Result(tag="ok", ok=Committed(version)):
                    return Accepted(version)
                case Result(tag="error", error=StoreError(StoreErrorKind.CONFLICT)):
                    if not uncertain:
                        return Changed(uncertain=False)
                case Result(tag="error", error=StoreError(StoreErrorKind.INVALID)):
                    return Failed(ExitCode.REFUSED, "The declaration exceeds 1 MB.")
                case _:
                    uncertain = True
            outcome = await self._async_read_back(document, revision)
            if outcome is not None:
                return outcome
            if anyio.current_time() >= end_s:
                message = f"The store did not answer. {_MAYBE}"
                return Failed(ExitCode.UNREACHABLE, message, uncertain=True)
            await anyio.sleep(STORE_RETRY_S)

    async def _async_read_back(
        self, document: bytes, revision: int
    ) -> Accepted | Changed | None:
        """Return whether the write took effect, or None if nothing has changed."""
        match await self._store.async_call(Get(self.key)):
            case Result(tag="ok", ok=Found(item)):
                found = item.revision if item is not None else 0
                if found == revision or item is None:
                    return None
                same = item.value == document
                return Accepted(found) if same else Changed(uncertain=True)
        return None


def _loaded(item: Item | None) -> Loaded:
    if item is None:
        return Loaded(0, None)
    parsed = parse_declaration(item.value)
    return Loaded(item.revision, parsed.ok if parsed.is_ok() else None)


def _sentence(error: StoreError) -> str:
    return f"The store cannot be reached: {error.message}."
