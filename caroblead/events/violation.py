"""The result type of the history checks."""

from dataclasses import dataclass

from .timeline import Record


@dataclass(slots=True, frozen=True)
class Violation:
    """A violation of a promise, with the records of the history that show it."""

    promise: str
    detail: str
    records: tuple[Record, ...]


History = list[Record]
