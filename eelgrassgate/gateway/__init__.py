"""Gateway that forwards callers' requests to endpoints unmodified."""
