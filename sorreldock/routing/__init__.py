"""The core: open RPCs, call attempts, timers and the module's actor. It knows no wire."""
