"""Client of the platform's advice service, which decides on which VMs a step may run."""

from ..dispatch.interface import Advice
from .fields import check_list, check_text, read_list
from .http import CallFailedError, HttpClient


class PlatformAdvisor:
    """Calls the advice service, which serves one call of each node at a time."""

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.url = f"http://{address}/api/advise"

    async def ask(self, step: str, vms: list[str], timeout_s: float) -> Advice:
        """Asks which of ``vms`` may run the step of this name.

        A failed call and a malformed answer give an :class:`Advice` without tickets.
        """
        message = {"stepId": step, "workers": vms}
        try:
            reply = await self.http.post(self.url, message, timeout_s)
            if reply.status != 200:
                return Advice(None)
            return Advice(dict(map(_decode_row, read_list(reply.decode(), "allowed"))))
        except (CallFailedError, ValueError):
            return Advice(None)


def _decode_row(row: object) -> tuple[str, str]:
    """Returns the VM and the ticket of a row."""
    fields = check_list(row, "allowed")
    if len(fields) < 2:
        raise ValueError("allowed: a row must have a VM and a ticket")
    return check_text(fields[0], "allowed"), check_text(fields[1], "allowed")
