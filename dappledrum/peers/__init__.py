"""What controllers say to each other, in CBOR over HTTP."""
