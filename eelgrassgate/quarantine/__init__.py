"""Finds prompt parts that crash endpoints and keeps requests with them away."""
