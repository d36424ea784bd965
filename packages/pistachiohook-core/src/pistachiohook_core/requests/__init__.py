"""Admission, order and at-most-once execution of requests at an agent."""
