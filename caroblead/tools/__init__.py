"""The command line, the programs' entry points and the load generator."""
