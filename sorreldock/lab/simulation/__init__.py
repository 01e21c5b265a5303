"""A world of its own for the router: virtual time, an in-memory network, faults scripted from seeds, and the
rules as oracles that see the wires. docs/simulation.md tells why it is built so.
"""
