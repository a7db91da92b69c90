"""Code shared by gates and placers: fleet membership, configuration and platform access."""
