"""Stand-ins of everything around the controllers, over the published protocols, in virtual time.

For tests only.
"""
