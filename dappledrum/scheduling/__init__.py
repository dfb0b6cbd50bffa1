"""Delay-based dynamic scheduling (DDS): which tasks start on which machine, and which machines are
rented.

The modules do no I/O and read no clock; they compute a plan from what they are given.
"""
