"""Parts of the decision module: pure decisions without I/O, a clock or imports of other layers.

`request` is an open request with its attempts, `draw` places keys, `capacity` sums what replicas can do,
`group` holds the replicas of one part of the fleet with both, and `replica` is what a gateway knows of one
of them. The facade that takes events in is `sorreldock.rules`.
"""
