"""Real controller processes over loopback TCP, with a fleet of hollow workers and users.

`python3 -m dappledrum.scale` starts controllers as `deploy/service.toml` does, serves the
stand-ins of the store and the cloud over sockets, and lets hundreds of hollow workers
share a process. Everything it starts ends with it. Figures are simulated: no task does any work.
"""
