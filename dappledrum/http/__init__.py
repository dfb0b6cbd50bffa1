"""HTTP/1.1 over asyncio protocols, parsed by httptools: a server with limits, and a pooled
client."""
