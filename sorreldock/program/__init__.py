"""The program: its commands, configuration, phases and log; it connects the other layers."""
