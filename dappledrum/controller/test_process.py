"""A controller's process and its predecessor of the same name, over real sockets."""

import asyncio
import socket

import msgspec

from dappledrum.controller import process
from dappledrum.settings import Settings, Tuning
from dappledrum.test_main import valid_settings


def test_a_controller_is_constructed_only_when_its_predecessor_has_released_the_address(
    monkeypatch,
):
    """Guards against two processes that grant leases under one name. A controller regards lease
    grants of its predecessor as expired two seconds after its own construction, but the
    predecessor can grant leases for as long as it has the address for peers."""
    constructed = asyncio.Event()

    class IdleController:
        async def run(self):
            await asyncio.sleep(60)

    def build_controller(*_):
        constructed.set()
        return IdleController()

    async def main():
        predecessor = socket.create_server(("127.0.0.1", 0))
        settings = msgspec.convert(valid_settings(), Settings)
        back = f"127.0.0.1:{predecessor.getsockname()[1]}"
        settings = msgspec.structs.replace(settings, back=back)
        running = asyncio.create_task(process.run_controller(settings, Tuning()))
        await asyncio.sleep(0.2)
        assert not constructed.is_set(), "constructed while the predecessor has the address"
        assert not running.done()
        predecessor.close()
        async with asyncio.timeout(20):
            await constructed.wait()
        running.cancel()

    monkeypatch.setattr(process, "build_controller", build_controller)
    asyncio.run(main())
