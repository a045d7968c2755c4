"""The platform stand-in."""
