"""Multi-step jobs: their specification, their records in the log and the ledger of all jobs."""
