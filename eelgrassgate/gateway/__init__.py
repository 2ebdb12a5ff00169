"""Forwards callers' requests to endpoints, byte for byte."""
