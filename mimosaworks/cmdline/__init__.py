"""Command lines: thin translations from words to calls."""
