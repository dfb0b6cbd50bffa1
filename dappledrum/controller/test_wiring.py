"""A process and the one before it under the same name, over real sockets."""

import asyncio
import socket

import msgspec

from dappledrum.controller import wiring
from dappledrum.settings import Settings, Tuning
from dappledrum.test_main import valid_settings


def test_a_process_begins_when_the_one_before_it_is_gone(monkeypatch):
    """Two seconds after its beginning it holds to no promise that it may have forgotten. The one
    before it can promise for as long as it has the address for peers."""
    begun = asyncio.Event()

    class Begun:
        def __init__(self, *_):
            begun.set()

        async def run(self):
            await asyncio.sleep(60)

    async def main():
        before = socket.create_server(("127.0.0.1", 0))
        settings = msgspec.convert(valid_settings(), Settings)
        back = f"127.0.0.1:{before.getsockname()[1]}"
        settings = msgspec.structs.replace(settings, back=back)
        running = asyncio.create_task(wiring.run_controller(settings, Tuning()))
        await asyncio.sleep(0.2)
        assert not begun.is_set() and not running.done()
        before.close()
        async with asyncio.timeout(20):
            await begun.wait()
        running.cancel()

    monkeypatch.setattr(wiring, "Controller", Begun)
    asyncio.run(main())
