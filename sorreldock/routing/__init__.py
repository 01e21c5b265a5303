"""Routing independent of protocols: open RPCs, attempts, timers and the decision module's actor."""
