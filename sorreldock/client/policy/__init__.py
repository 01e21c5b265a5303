"""The client's decisions: no I/O, no clock and no randomness of their own.

Times are seconds on one monotonic clock whose reading is an argument; a draw is a float from [0, 1) that
the caller has made. Nothing here sleeps, sends or reads.
"""
