"""Health of the links between controllers, workers, store and cloud, and what follows from it.

Each controller measures its own links (`http.link_health`, `zone_health`), probes the idle ones
(`probes`) and exchanges the results with its peers (`monitor`, `peer_table`). From them it
determines where workers should send heartbeats (`heartbeat_routing`, `leader_claims`) and, as
leader, whether another controller should lead instead (`leader_check`, `leader_placement`).
The design is described in docs/membership.md.
"""
