"""Chooses the agent for each attempt.

The objects here do no input or output; the clock and the random numbers are
passed in.
"""
