"""Membership, load reports and relaying among gateway and batch processes."""
