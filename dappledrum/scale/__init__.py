"""Scale test: real controller processes over loopback TCP, with hollow workers and users.

`python3 -m dappledrum.scale` starts controllers with the command of `deploy/service.toml`, serves
a simulated store and a simulated cloud over sockets, and runs hundreds of hollow workers in each
host process. It ends every process that it started. All figures are simulated: tasks only wait.
"""
