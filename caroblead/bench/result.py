"""Rows of benchmark figures with their baselines and targets."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Row:
    """The figures of one benchmark and its baselines, with the stated target if there is one.

    ``met`` is None without a target; ``unsafe`` counts the safety violations.
    """

    name: str
    figures: dict[str, float]
    target: str = ""
    met: bool | None = None
    unsafe: int = 0


@dataclass(slots=True)
class Results:
    """All rows of a benchmark run."""

    rows: list[Row] = field(default_factory=list)

    def add(self, name: str, figures: dict, target: str = "", met=None, unsafe: int = 0):
        """Adds a row."""
        self.rows.append(Row(name, figures, target, met, unsafe))
