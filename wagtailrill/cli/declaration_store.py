"""Access of operators' commands to the declaration in the platform store."""

import anyio
from expression import Error, Ok, Result

from ..configuration.follower import ConfigurationDecoder
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
from ..store.revision import get_number
from .const import STORE_RETRY_INTERVAL_S, STORE_RETRY_MAX_S, ExitCode
from .models import (
    CommandFailure,
    StoredDeclaration,
    WriteAccepted,
    WriteConflict,
    WriteOutcome,
)
from .versions import build_version

_UNCERTAIN_WRITE_HINT = (
    "The write may have taken effect; run `wagtailrillctl export` to see."
)


class DeclarationStore:
    """Reads and writes the declaration; retries while the store does not answer.

    Revisions are versions as `build_version` makes them. `decoder` reads another format
    than that of the services declaration.
    """

    def __init__(
        self,
        store: Store,
        deployment: str,
        retry_max_s: float = STORE_RETRY_MAX_S,
        decoder: ConfigurationDecoder | None = None,
    ) -> None:
        self._decoder = decoder or NativeConfigurationDecoder(deployment)
        self.key = self._decoder.get_declaration_key()
        self._store = store
        self._retry_max_s = retry_max_s
        self._loaded_era = 0

    async def async_load(self) -> Result[StoredDeclaration, CommandFailure]:
        """Return the stored declaration and its revision."""
        deadline_s = anyio.current_time() + self._retry_max_s
        while True:
            answer = await self._store.async_call(Get(self.key))
            match answer.result:
                case Result(tag="ok", ok=Found(item)):
                    self._loaded_era = answer.era
                    return Ok(self._decode_item(item, answer.era))
                case Result(tag="error", error=error):
                    if anyio.current_time() >= deadline_s:
                        return Error(
                            CommandFailure(
                                ExitCode.UNREACHABLE, _describe_store_error(error)
                            )
                        )
            await anyio.sleep(STORE_RETRY_INTERVAL_S)

    async def async_write(self, text: str, revision: int) -> WriteOutcome:
        """Replace the declaration if its revision is still the given one.

        If the store does not answer, the declaration is read back to find out whether
        the write took effect. The write is repeated while the revision is unchanged;
        compare-and-swap lets at most one of the writes take effect. A restore of the
        store since the declaration was read makes it a conflict, since the condition
        may have met another change of the same number.
        """
        document = text.encode()
        deadline_s = anyio.current_time() + self._retry_max_s
        uncertain = False
        expected = Expected(self.key, get_number(revision))
        commit = Commit((expected,), (Put(self.key, document),))
        while True:
            answer = await self._store.async_call(commit)
            match answer.result:
                case Result(tag="ok", ok=Committed(number)):
                    if answer.era != self._loaded_era:
                        return WriteConflict(uncertain=True)
                    return WriteAccepted(build_version(answer.era, number))
                case Result(tag="error", error=StoreError(StoreErrorKind.CONFLICT)):
                    if not uncertain:
                        return WriteConflict(uncertain=False)
                case Result(tag="error", error=StoreError(StoreErrorKind.INVALID)):
                    if not uncertain:
                        return CommandFailure(
                            ExitCode.REFUSED, "The declaration exceeds 1 MB."
                        )
                case _:
                    uncertain = True
            outcome = await self._async_read_back(document, revision)
            if outcome is not None:
                return outcome
            if anyio.current_time() >= deadline_s:
                message = f"The store did not answer. {_UNCERTAIN_WRITE_HINT}"
                return CommandFailure(ExitCode.UNREACHABLE, message, uncertain=True)
            await anyio.sleep(STORE_RETRY_INTERVAL_S)

    def _decode_item(self, item: Item | None, era: int) -> StoredDeclaration:
        if item is None:
            return StoredDeclaration(0, None)
        decoded = self._decoder.decode(item)
        version = build_version(era, item.revision)
        return StoredDeclaration(version, decoded.ok if decoded.is_ok() else None)

    async def _async_read_back(
        self, document: bytes, revision: int
    ) -> WriteAccepted | WriteConflict | None:
        """Return the outcome of a write, or None if the store shows no change."""
        answer = await self._store.async_call(Get(self.key))
        match answer.result:
            case Result(tag="ok", ok=Found(item)):
                if item is None:
                    return None
                stored_revision = build_version(answer.era, item.revision)
                if stored_revision == revision:
                    return None
                is_own_write = item.value == document
                return (
                    WriteAccepted(stored_revision)
                    if is_own_write
                    else WriteConflict(uncertain=True)
                )
        return None


def _describe_store_error(error: StoreError) -> str:
    return f"The store cannot be reached: {error.message}."
