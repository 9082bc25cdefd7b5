"""See claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from fleet import CONTACT_S, Server, Stream, ask_stream, keep, main, streamer  # noqa: E402

SERVERS = 12
EVENTS = 3
PAUSE_S = 0.03
DOWN_S = 0.73
# A server that has crashed is back after this time, and has its model again some seconds later.
BACK_S = 2.0
MODEL = "daka510000"
FIRST = "5c1e07a2"
DEADLY = b"what crashes"
# The same request comes again this often, a second apart.
REPEATS = 20
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


def deadly(record, reached, work):
    """Work of a server that crashes as it begins to run the deadly request."""

    async def run(server, headers, body, reader, writer):
        if body != DEADLY:
            return await work(server, headers, body, reader, writer)
        reached.append(time.monotonic())
        record.write("deadly", server=server.name, attempt=headers.get("attempt-id"),
                     number=len(reached))
        await asyncio.sleep(0.03)
        keep(crash_and_return(server))
        await asyncio.sleep(5)

    return run


async def crash_and_return(server):
    if not server.up:
        return
    await server.crash()
    await asyncio.sleep(BACK_S)
    await server.start()


def headers(number):
    prefix = f"{FIRST}:300,{number:08x}:300"
    return [("Model", MODEL), ("Token-Counts", "1460,9"), ("Prompt-Prefix", prefix)]


async def sound_requests(fleet, record, results):
    """Ten sound requests a second, no two alike."""
    number = 1000
    while True:
        entry = fleet.entries[number % len(fleet.entries)]

        async def one(entry=entry, number=number):
            stream = Stream()
            await ask_stream(record, entry.ip, "/care/2f", stream, headers(number))
            results.append(stream.complete)

        keep(one())
        number += 1
        await asyncio.sleep(0.1)


async def scenario(fleet, record, trouble):
    fleet.start()
    await fleet.configure(CONFIGURATION)
    reached = []
    servers = []
    for index in range(SERVERS):
        server = Server(fleet, index, "llm", "v1", models=[MODEL])
        server.work = deadly(record, reached, streamer(record, EVENTS, PAUSE_S))
        await server.start()
        servers.append(server)
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)
    results = []
    sound = asyncio.create_task(sound_requests(fleet, record, results))
    await asyncio.sleep(1.0)
    for number in range(REPEATS):
        # The same path, caller, prompt and body, at any machine.
        entry = fleet.entries[number % len(fleet.entries)]
        body = DEADLY if trouble else b"hi"
        keep(ask_stream(record, entry.ip, "/care/2f", Stream(), headers(7), body=body))
        await asyncio.sleep(1.0)
    await asyncio.sleep(1.0)
    sound.cancel()
    known = reached[2] + CONTACT_S if len(reached) > 2 else None
    later = sum(at > known for at in reached) if known else 0
    record.write("result", reached=len(reached), later=later, sound=len(results),
                 sound_served=sum(results))
    print(f"{len(reached)} times a server ran the request, {later} times later than contactMs after "
          f"the third crash; {sum(results)} of {len(results)} sound ones served")
    # BUDGET: more than three retries.
    return f"BUDGET: {later} times later than contactMs after the third crash" if later > 3 else None


main(HERE, scenario)
