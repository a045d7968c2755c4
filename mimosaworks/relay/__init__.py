"""Relay of answers and streams, and idempotency claims."""
