"""Directory: which entry VM to use."""
