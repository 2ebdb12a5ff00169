"""Counters, timers and histograms."""
