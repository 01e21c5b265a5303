"""Parts of the decision module: pure decisions without I/O, a clock or imports of other layers.

`request` has an open request with its attempts, `replica` the record of one replica, `draw` maps keys to
replicas, `capacity` sums the capacity of replicas, and `group` holds the replicas of one part of the fleet
and uses the latter two. `sorreldock.rules` takes the events and uses all of them.
"""
