"""Load and experiment tools on the stand-ins."""
