"""What a check of a history returns."""

from dataclasses import dataclass

from .timeline import Record


@dataclass(slots=True, frozen=True)
class Violation:
    """A promise that the history refutes, with the records that show it."""

    promise: str
    detail: str
    records: tuple[Record, ...]


History = list[Record]
