"""Admission, scheduling and at-most-once execution of requests."""
