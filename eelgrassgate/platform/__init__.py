"""The users' platform: decodes what it says, and says what it reads.

Nothing outside this package knows the names on its wire.
"""
