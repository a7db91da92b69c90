"""Change tickets, the configuration that results from them, and the settings of the programs."""
