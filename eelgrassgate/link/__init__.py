"""Connections between this project's processes, over ZeroMQ."""
