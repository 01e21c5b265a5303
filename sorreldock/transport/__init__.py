"""Sockets: listeners, dialling, ring-buffered connections, pools and the descriptor budget."""
