"""Delay-based dynamic scheduling: what starts where, and what is rented.

Pure functions of what they are given.
"""
