"""A deterministic simulation of routers: virtual time, an in-memory network, faults scripted from seeds, and
rules that are checked on the traffic. docs/simulation.md explains its design.
"""
