"""Runs a simulated server as a process on loopback."""

from typing import Any
from typing import NoReturn

from absl import app as absl_app
from absl import flags
import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
from starlette import applications


def run(app: applications.Starlette, port: int) -> NoReturn:
    """Serve `app` until a signal; `port` is the default of `--port`.

    The flag is defined here so that importing a module defines none.
    """
    port_flag = flags.DEFINE_integer("port", port, "Port on 127.0.0.1.")

    def main(argv: list[str]) -> None:
        del argv
        config = hypercorn_config.Config()
        config.bind = [f"127.0.0.1:{port_flag.value}"]
        asgi_app: Any = app
        anyio.run(hypercorn_asyncio.serve, asgi_app, config)

    absl_app.run(main)
    raise SystemExit(0)
