"""Membership of entries, and the shares of the rate limits they hold."""
