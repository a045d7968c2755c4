"""Members: registration, freshness and the barrier."""
