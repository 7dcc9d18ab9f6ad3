"""Calls between entries about who may hold a partition."""

from persimmonsail import control_grpc
from persimmonsail.partitioning import partitions as partitions_module


class Holders(control_grpc.HoldersBase):
    """Serves these calls for an entry's partitions; see ``consents``."""

    def __init__(self, partitions: partitions_module.Partitions) -> None:
        self._partitions = partitions

    async def Consent(self, stream) -> None:
        """Promise a holder without store contact not to replace it."""
        request = await stream.recv_message()
        await stream.send_message(self._partitions.promises.consent(request))

    async def Fence(self, stream) -> None:
        """Refuse consent to a partition's earlier holders from now on."""
        request = await stream.recv_message()
        await stream.send_message(self._partitions.fence(request))
