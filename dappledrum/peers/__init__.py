"""Messages between controllers, in CBOR over HTTP."""
