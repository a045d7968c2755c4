"""Routing: choice of target, retries and crash suspects."""
