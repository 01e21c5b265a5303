"""Protocols of the router: fronts for clients, clients of servers, and the client of discovery."""
