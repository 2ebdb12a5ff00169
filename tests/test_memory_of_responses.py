"""Memory of responses that are buffered or not read."""

from typing import Final
import unittest

import anyio

from eelgrassgate import memory_budget
from eelgrassgate.gateway import body_admission
from eelgrassgate.gateway import forwarding
from tests import site as site_lib

# Fits the buffer of a response.
BODY: Final = bytes(200_000)
LARGE_BODY: Final = bytes(3_000_000)


def write_response(body: bytes) -> bytes:
    head = (
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: 1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class ResponseMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def check_given_back(self, site: site_lib.Site) -> None:
        with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
            while site.budget.held_bytes:
                await anyio.sleep(0.01)

    async def test_response_is_whole_although_memory_is_short(self) -> None:
        for body in (BODY, LARGE_BODY):
            for limit in (300_000, 600_000, site_lib.MEMORY_BYTES):
                with self.subTest(length=len(body), limit=limit):
                    async with site_lib.open_site("e1") as site:
                        site.budget.limit_bytes = limit
                        site.endpoints[0].behavior.raw = write_response(body)
                        response = await site_lib.call(site.address, "/plain/a")
                        self.assertEqual(response.status, 200)
                        self.assertTrue(response.is_complete)
                        self.assertEqual(response.body, body)
                        await self.check_given_back(site)

    async def test_response_that_has_arrived_is_not_held_until_the_deadline(
        self,
    ) -> None:
        async with site_lib.open_site("e1") as site:
            site.endpoints[0].behavior.raw = write_response(BODY)
            # Uploads of the workspace hold all that it may use.
            with site.budget.open(
                memory_budget.Kind.REQUEST, site_lib.WORKSPACE
            ) as uploads:
                share = memory_budget.MAX_HOLDER_SHARE
                self.assertTrue(
                    uploads.try_grow(int(site.budget.limit_bytes * share))
                )
                with anyio.fail_after(10 * forwarding.MAX_HOLD_BACK_S):
                    response = await site_lib.call(site.address, "/plain/a")
            self.assertEqual((response.status, response.body), (200, BODY))

    async def test_request_body_is_released_when_its_response_begins(
        self,
    ) -> None:
        for path, is_released in (("/stream/a", True), ("/resumable/a", False)):
            with self.subTest(path):
                async with site_lib.open_site("e1") as site:
                    site.endpoints[0].behavior.event_delay_s = 0.1
                    held: list[int] = []

                    async def watch(
                        site: site_lib.Site = site, held: list[int] = held
                    ) -> None:
                        while True:
                            held.append(
                                site.budget.held_bytes_by_kind[
                                    memory_budget.Kind.REQUEST
                                ]
                            )
                            await anyio.sleep(0.02)

                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(watch)
                        response = await site_lib.call(
                            site.address, path, body=bytes(1_000_000)
                        )
                        tasks.cancel_scope.cancel()
                    self.assertEqual(response.status, 200)
                    self.assertGreater(max(held), 1_000_000)
                    self.assertEqual(
                        body_admission.REQUEST_BYTES in held, is_released
                    )
                    await self.check_given_back(site)

    async def test_stream_is_charged_while_it_runs(self) -> None:
        async with site_lib.open_site("e1") as site:
            site.endpoints[0].behavior.event_delay_s = 0.1
            held_by_kind = site.budget.held_bytes_by_kind
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site_lib.call, site.address, "/stream/a")
                with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                    while (
                        held_by_kind[memory_budget.Kind.RESPONSE]
                        < forwarding.STREAM_BYTES
                    ):
                        await anyio.sleep(0.01)
            await self.check_given_back(site)

    async def test_unread_response_is_charged(self) -> None:
        async with site_lib.open_site("e1") as site:
            response = write_response(bytes(30_000_000))
            site.endpoints[0].behavior.raw = response
            host, _, port = site.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                head = (
                    f"POST /plain/a HTTP/1.1\r\nHost: {site_lib.HOST}\r\n"
                    f"Authorization: Bearer {site_lib.KEY}\r\n"
                    "Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
                )
                await stream.send(head.encode())
                with anyio.fail_after(site_lib.TEST_TIMEOUT_S):
                    while (
                        site.budget.held_bytes_by_kind[
                            memory_budget.Kind.RESPONSE
                        ]
                        < forwarding.IN_FLIGHT_BYTES
                    ):
                        await anyio.sleep(0.01)
            await self.check_given_back(site)


if __name__ == "__main__":
    unittest.main()
