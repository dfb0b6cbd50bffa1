"""dappledrum: a small cluster scheduler of replicated controllers over rented machines."""

__version__ = "0.7.1"
