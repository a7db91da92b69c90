"""The logical clock (Lamport clock) whose value the messages between processes carry."""

# A larger value could not be sent on after it has been incremented.
MAX_CLOCK = 2**62


class LogicalClock:
    """A counter that grows with each message and event and is never behind a received value."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0

    def advance(self) -> int:
        """Increments the clock for a message or an event and returns the new value."""
        self.value += 1
        return self.value

    def observe(self, received: int | None):
        """Raises the clock to the value in a received message, if that is higher and in range."""
        if received and self.value < received <= MAX_CLOCK:
            self.value = received
