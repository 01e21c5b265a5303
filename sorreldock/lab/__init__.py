"""The lab: emulated fleets on loopback, and experiments on them (`pip install sorreldock[lab]`).

`engine` and `directory` are models without I/O, clock or randomness of their own; `serving` serves them on
sockets; `processes` starts a fleet and router processes. The router itself (`serve`) imports none of it.
"""
