"""Rows of figures beside their baselines and targets."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Row:
    """One figure beside its baselines, with the stated target if there is one."""

    name: str
    figures: dict[str, float]
    target: str = ""
    met: bool | None = None
    unsafe: int = 0


@dataclass(slots=True)
class Results:
    """All rows of a run."""

    rows: list[Row] = field(default_factory=list)

    def add(self, name: str, figures: dict, target: str = "", met=None, unsafe: int = 0):
        """Adds a row."""
        self.rows.append(Row(name, figures, target, met, unsafe))
