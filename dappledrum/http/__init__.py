"""HTTP/1.1 server with connection limits and pooled client, on asyncio and httptools."""
