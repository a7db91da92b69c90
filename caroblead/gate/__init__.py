"""The gate: takes requests, jobs and tickets over HTTP and brings the answers back."""
