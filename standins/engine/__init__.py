"""The engine stand-in."""
