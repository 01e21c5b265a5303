"""Fronts, engine clients and discovery: what the core's RPCs, attempts and lists are on each wire."""
