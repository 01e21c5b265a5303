"""A randomized soak test: router processes under overlapping faults, checked against the platform's rules.

`servers` has emulated servers and their discovery, `clients` sends requests and records their outcomes,
`faults` draws a plan from a seed, `system_calls` makes system calls of a router process fail, `invariants`
checks the records, and `runner` runs all of it on loopback.
"""
