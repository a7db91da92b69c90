"""Jobs of several steps: what callers hand in, what is recorded of it and the ledger of both."""
