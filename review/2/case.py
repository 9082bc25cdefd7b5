"""See claim.txt."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from fleet import Server, Stream, ask_stream, main, streamer  # noqa: E402

SERVERS = 9
EVENTS = 100
PAUSE_S = 0.12
STREAMS = 90
DOWN_S = 0.73
MAX_WAIT_S = 15
# The clients' retries, as on the users' sheet.
RETRIES = 1
MODEL = "daka510000"
HEADERS = [("Model", MODEL), ("Token-Counts", "1460,300"), ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")]
CONFIGURATION = {
    "routes": [{
        "name": "r-care", "host": "ficu95.example", "pathPrefix": "/care/", "kind": "streaming",
        "timeoutMs": 15000, "targetLatencyMs": 2000, "priority": 0, "service": "llm",
        "attempts": 2, "sessionAffinity": True, "resumable": True, "gapTargetMs": 400}],
    "services": [{
        "name": "llm", "healthCheckPath": "/health", "connectionLimit": 370, "protocol": "h1",
        "tls": False,
        "engine": {"slots": 64, "kvCacheTokens": 144538, "kvTokenBytes": 163840,
                   "linkMbps": 1100000.0, "moves": False, "backups": False, "stride": 3,
                   "maxCount": 12, "hostMb": 150000.0, "diskMb": 450000.0,
                   "models": [{"name": MODEL, "weightsMb": 72700.0, "loadS": 5.8, "adapters": 0,
                               "adapterMb": 66.0, "warmS": 0.63, "diskS": 1.2}],
                   "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 1.1}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


async def client(fleet, record, stream, begun_at, breaks):
    """A client: one stream, which it takes up once its channel has broken, with one retry."""
    await ask_stream(record, random.choice(fleet.entries).ip, "/care/2f", stream, HEADERS,
                     until=breaks.is_set)
    for _ in range(1 + RETRIES):
        if stream.complete or not stream.events:
            return
        stream.status = None
        entry = await fleet.open_entry(begun_at + MAX_WAIT_S)
        left_ms = int((begun_at + MAX_WAIT_S - time.monotonic()) * 1000)
        await ask_stream(record, entry.ip, "/care/2f", stream, HEADERS, left_ms)
        await asyncio.sleep(stream.retry_after)


async def scenario(fleet, record, trouble):
    fleet.start()
    await fleet.configure(CONFIGURATION)
    servers = []
    for index in range(SERVERS):
        # One server of nine runs new software already.
        software = "v2" if index == SERVERS - 1 else "v1"
        server = Server(fleet, index, "llm", software, models=[MODEL])
        server.work = streamer(record, EVENTS, PAUSE_S)
        await server.start()
        servers.append(server)
        await asyncio.sleep(0.11)
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)
    breaks = asyncio.Event()
    streams = [Stream() for _ in range(STREAMS)]
    clients = []
    for stream in streams:
        clients.append(asyncio.create_task(
            client(fleet, record, stream, time.monotonic(), breaks)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    if trouble:
        # All processes are killed at the same moment, and are back soon.
        for process in fleet.processes:
            process.signal(9)
        for process in fleet.processes:
            process.process.wait()
        await asyncio.sleep(DOWN_S)
        for process in fleet.processes:
            process.start()
    else:
        # The clients' channels break without it.
        breaks.set()
    await asyncio.gather(*clients)
    mixed = [stream for stream in streams if len(stream.softwares) > 1]
    complete = sum(stream.complete for stream in streams)
    new = sum(stream.events[0][1] == "v2" for stream in streams if stream.events)
    record.write("result", streams=len(streams), began_at_v2=new, complete=complete, mixed=len(mixed))
    print(f"{len(streams)} streams, {new} begun at v2, {complete} complete, "
          f"{len(mixed)} with events of two softwares")
    if complete < len(streams) / 2 and not trouble:
        return f"only {complete} streams complete without trouble"
    # ORDER: more than two streams.
    return f"ORDER: {len(mixed)} streams hold events of v1 and v2" if len(mixed) > 2 else None


main(HERE, scenario)
