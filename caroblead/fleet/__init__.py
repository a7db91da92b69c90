"""What gates and placers share: who is alive, and which configuration is in force."""
