"""Configuration versions: log, snapshots, applying."""
