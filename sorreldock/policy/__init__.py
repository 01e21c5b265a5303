"""Parts of the decision module: pure decisions without I/O, a clock or imports of other layers.

`request` has an open request with its attempts, `draw` maps keys to replicas, `capacity` sums the capacity
of replicas, `group` holds the replicas of one part of the fleet and uses both, and `replica` has what a
gateway knows of one of them. The facade that takes events is `sorreldock.rules`.
"""
