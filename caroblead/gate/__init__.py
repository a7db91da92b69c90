"""The gate: the HTTP front end that accepts requests, jobs and tickets and returns the answers."""
