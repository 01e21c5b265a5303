"""Sockets: listeners, dialling, buffered connections, connection pools, budgets and admission."""
