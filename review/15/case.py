"""A configuration that adds a route whose prefix is `/`."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_3.http_io import call  # noqa: E402
from standins_3.system import PREFIX, SERVICE, System  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_S = 2.0
ADDED_HOST = "added.example"


async def main() -> int:
    system = System(FOLDER / "record.txt")
    system.plan = lambda task, spec: (0.5, "done")
    try:
        await system.start(edges=3, runners=4)
        if TROUBLE:
            system.routes.append(system.route("added", SERVICE, "/") | {"host": ADDED_HOST})
            system.configure()
        await asyncio.sleep(CONFIG_S + 3.0)
        host, path = (ADDED_HOST, "/") if TROUBLE else ("jobs.example", PREFIX)
        statuses = []
        for _ in range(3):
            for edge in system.edges:
                response = await call(edge.front, "GET", path, headers={"Host": host})
                system.record(
                    "count requested", to=edge.name, host=host, path=path,
                    status=response and response[0], body=response and response[1],
                )
                statuses.append(response and response[0])
            await asyncio.sleep(2)
        if None in statuses:
            return 2
        # The job of such a route is accepted, so that the route is known.
        if TROUBLE:
            document = {"spec": "x", "steps": [{"count": 1, "cpu": 1000}]}
            headers = {"Host": ADDED_HOST}
            response = await call(
                system.edges[0].front, "POST", "/00000000000000ab", document, headers
            )
            system.record("job handed in", status=response and response[0])
        broken = 404 in statuses
        system.record("verdict", statuses=statuses, broken=broken)
        return 1 if broken else 0
    finally:
        await system.stop()
        system.remove_folder()


if __name__ == "__main__":
    try:
        async def bounded() -> int:
            async with asyncio.timeout(60):
                return await main()

        sys.exit(asyncio.run(bounded()))
    except (TimeoutError, OSError, RuntimeError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
