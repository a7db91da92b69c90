"""How long runs take and how fast VMs are, as learned from the runs that end."""
