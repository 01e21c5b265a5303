"""A randomized soak: real router processes under faults that overlap in time, and the rules as its oracle.

`servers` are stand-ins with their discovery, `clients` send requests and note what comes of them, `faults`
draws a plan from a seed, `system_calls` makes calls of a router process fail, `invariants` judges the
notes, and `runner` plays all of it on loopback.
"""
