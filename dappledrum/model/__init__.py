"""Slow and plain models that the real code is compared with.

For tests only.
"""
