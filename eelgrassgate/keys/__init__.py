"""API keys of callers, and whether the known keys are current."""
