"""See claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from fleet import CONTACT_S, Server, Stream, ask_stream, main, streamer  # noqa: E402

SERVERS = 9
NEW_SOFTWARE_FROM = 5
EVENTS = 110
PAUSE_S = 0.12
STREAMS = 30
MODEL = "daka510000"
HEADERS = [("Model", MODEL), ("Token-Counts", "1460,330"), ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")]
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


async def ask_twice(record, ip, stream, left_ms):
    """A client's attempt with one retry after a refusal, as clients do. Returns whether an event came."""
    before = len(stream.events)
    deadline = time.monotonic() + left_ms / 1000
    for _ in range(2):
        left = int((deadline - time.monotonic()) * 1000)
        await ask_stream(record, ip, "/care/2f", stream, HEADERS, left)
        if len(stream.events) > before:
            return True
        await asyncio.sleep(1.0)
    return False


async def scenario(fleet, record, trouble):
    fleet.start()
    await fleet.configure(CONFIGURATION)
    servers = []
    for index in range(SERVERS):
        software = "v1" if index < NEW_SOFTWARE_FROM else "v2"
        server = Server(fleet, index, "llm", software, models=[MODEL])
        server.work = streamer(record, EVENTS, PAUSE_S)
        await server.start()
        servers.append(server)
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)
    first, others = fleet.entries[0], fleet.entries[1:]
    breaks = asyncio.Event()
    streams = [Stream() for _ in range(STREAMS)]
    asked = []
    for stream in streams:
        asked.append(asyncio.create_task(ask_stream(
            record, first.ip, "/care/2f", stream, HEADERS, until=breaks.is_set)))
        await asyncio.sleep(0.01)
    # Longer than it takes to tell control of them.
    await asyncio.sleep(1.0)
    begun = time.monotonic()
    if trouble and os.environ.get("ROLL"):
        # Planned work instead: the control instances are stopped and started in turn.
        for control in fleet.controls:
            control.signal(15)
            while control.process.poll() is None:
                await asyncio.sleep(0.05)
            control.start()
            await asyncio.sleep(1.0)
        begun = time.monotonic() - CONTACT_S
    elif trouble:
        for control in fleet.controls:
            control.kill()
        for control in fleet.controls:
            control.start()
    # The core is stable and all machines are in touch again.
    await asyncio.sleep(2 * CONTACT_S + 0.5 - (time.monotonic() - begun))
    # The clients' channels break, and they take their streams up at the other entries.
    breaks.set()
    await asyncio.gather(*asked)
    interrupted = [stream for stream in streams if stream.events and not stream.complete]
    took_up, began = [], []
    for number, stream in enumerate(interrupted):
        entry = others[number % len(others)]
        took_up.append(asyncio.create_task(ask_twice(record, entry.ip, stream, 7000)))
        began.append(asyncio.create_task(ask_twice(record, entry.ip, Stream(), 15000)))
        await asyncio.sleep(0.01)
    took_up = await asyncio.gather(*took_up)
    began = await asyncio.gather(*began)
    mixed = sum(len(stream.softwares) > 1 for stream in streams)
    record.write("result", interrupted=len(interrupted), go_on=sum(took_up), new=len(began),
                 new_begin=sum(began), mixed=mixed)
    print(f"{sum(took_up)} of {len(took_up)} streams go on, {sum(began)} of {len(began)} new ones begin")
    if len(interrupted) < 12 or not any(began):
        raise RuntimeError("too few streams for the rule")
    on, new = sum(took_up) / len(took_up), sum(began) / len(began)
    # LOST: under half of the share of new streams that begin.
    return f"LOST: {on:.2f} of the streams go on, {new:.2f} of the new ones begin" if on < new / 2 else None


main(HERE, scenario)
