"""API keys of callers, and how long a copy of them may be used."""
