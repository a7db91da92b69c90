"""Change tickets, the configuration that they add up to, and the settings of a program."""
