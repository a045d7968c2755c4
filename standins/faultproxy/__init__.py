"""The TCP fault proxy."""
