import unittest

import msgspec

from eelgrassgate import messages

MALFORMED = (
    ("no bytes", b""),
    ("not a message", b"\xc1"),
    ("unknown tag", msgspec.msgpack.encode({"t": "Nothing", "v": 1})),
    ("other version", messages.encode(messages.Leave(v=2))),
)


class MessagesTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        message = messages.Cancel(attempt="a")
        self.assertEqual(messages.decode(messages.encode(message)), message)

    def test_malformed_messages(self) -> None:
        for name, data in MALFORMED:
            with (
                self.subTest(name),
                self.assertRaises(messages.BadMessageError),
            ):
                messages.decode(data)
