"""The client's decisions, without I/O, a clock or randomness of their own.

Times are in seconds on one monotonic clock, whose reading is passed as an argument. A draw is a random float
from [0, 1) that the caller provides. Nothing in this package sleeps, sends or reads.
"""
