"""The fleet's configuration."""
