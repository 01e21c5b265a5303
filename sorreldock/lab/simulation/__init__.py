"""A deterministic simulation of routers in virtual time on an in-memory network.

Seeds determine the scenarios with their faults, and rules are checked on the network traffic. The design is
explained in docs/simulation.md.
"""
