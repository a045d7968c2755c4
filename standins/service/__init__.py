"""The plain service stand-in."""
