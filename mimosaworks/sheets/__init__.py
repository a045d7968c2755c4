"""Sheets: the planners' CSV export."""
