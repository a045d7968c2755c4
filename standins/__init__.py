"""Small stand-ins for the outside systems, used by tests, demo and bench."""
