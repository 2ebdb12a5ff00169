"""Adapters of the users' platform: its documents, requests and store.

Names and formats of its protocols are used in this package only.
"""
