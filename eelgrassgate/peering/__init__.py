"""The system's own processes: who they are and what each has in hand."""
