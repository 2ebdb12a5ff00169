"""The agent process, which runs next to one endpoint."""
