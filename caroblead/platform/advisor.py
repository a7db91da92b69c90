"""The service that knows on which VMs a step may run."""

from ..dispatch.interface import Advice
from .http import CallFailedError, HttpClient


class PlatformAdvisor:
    """Asks the advice service, which serves one call of a node at a time."""

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.url = f"http://{address}/api/advise"

    async def ask(self, step: str, vms: list[str], timeout_s: float) -> Advice:
        """Asks about a step by its name."""
        message = {"stepId": step, "workers": vms}
        try:
            reply = await self.http.post(self.url, message, timeout_s)
            if reply.status != 200:
                return Advice(None)
            return Advice({str(row[0]): str(row[1]) for row in reply.decode()["allowed"]})
        except (CallFailedError, KeyError, TypeError, IndexError):
            return Advice(None)
