"""Placement: shard lease, intents, orders and keep-alive."""
