"""Admission: keys, deadlines and fair queues."""
