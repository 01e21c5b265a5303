"""The program: commands, configuration, phases and its log. It wires the other layers together."""
