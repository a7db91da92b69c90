"""The logical clock that messages between processes carry."""


class LogicalClock:
    """A counter that grows with each message and is never behind what was heard."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0

    def advance(self) -> int:
        """Moves on by one and returns the new value, for a message or an event."""
        self.value += 1
        return self.value

    def observe(self, heard: int | None):
        """Takes over the clock of a message that was received."""
        if heard and heard > self.value:
            self.value = heard
