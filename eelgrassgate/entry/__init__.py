"""The entry process, which serves callers and dispatches to agents."""
