"""A small deployment on loopback addresses, and the stand-ins around it: servers (replicas), clients
and the operator. Python's standard library only.

The project's own programs are started as separate processes with the commands and the environment of
deploy/system.toml, each on an address of its own in 127.0.0.0/8, with a settings file as
DEPLOY.md describes. Everything written goes into a temporary folder.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["seq-a", "seq-b", "seq-c"]
# Bounds of the site file qwpa-rota (SYSTEM.md), as in the users' example of a settings file.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configPropagationMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 56, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "fencingEnforced": True,
    "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1,
}
CONTACT_S = BOUNDS["contactMs"] / 1000
HEARTBEAT_S = 1.2
FRONT, READY, CONTROL, INTERNAL = 8149, 8141, 8144, 7380
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case can't run here; run.sh exits with 2."""


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


class Process:
    """One process of the project."""

    def __init__(self, fleet, role, index, ip):
        self.fleet, self.role, self.index, self.ip = fleet, role, index, ip
        self.name = f"{role}-{index + 1}"
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.started = None
        self.process = None
        self.starts = 0

    def settings(self):
        fleet = self.fleet
        core = self.role == "control"
        listen = {"control": f"{self.ip}:{CONTROL}"} if core else {
            "front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"}
        return {
            "nodeName": self.name, "role": self.role,
            "machineClass": "core" if core else "frontend",
            "serves": ["control_plane" if core else "frontend"], "ipAddress": self.ip,
            "zone": ZONES[self.index % 3], "region": "seq", "zones": {zone: "seq" for zone in ZONES},
            "listenAddresses": listen, "internalPorts": [INTERNAL, INTERNAL + 15],
            "seedNodes": [f"{ip}:{CONTROL}" for ip in fleet.control_ips[:3]],
            "firstStart": self.starts == 0, "countedInTolerance": core,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "fileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 128 if core else 0},
            "dataDirectory": str(self.folder / "data") if core else None,
            "discovery": "registration", "entry": "virtual_ip", "heartbeatMs": HEARTBEAT_S * 1000,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "configurationMode": "highest",
        }

    def start(self):
        file = self.folder / "node.json"
        file.write_text(json.dumps(self.settings()))
        role = self.fleet.deploy["roles"][self.role]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= role.get("env", {}) | {"FLAMINGOLINK_BOOT": str(file)}
        self.starts += 1
        log = open(self.folder / "log", "a")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT)
        log.close()
        self.fleet.record.write("start", process=self.name, pid=self.process.pid)

    def signal(self, number):
        self.fleet.record.write("signal", process=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lines(self, word):
        """The lines of the process's log that contain a word."""
        text = (self.folder / "log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]


class Fleet:
    """Control instances and entries."""

    def __init__(self, record, entries=3, controls=3):
        self.record = record
        binary = ROOT / "target/release/flamingo-platform"
        if not binary.exists():
            raise CannotRun(f"{binary} is missing: run the build line of deploy/system.toml")
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet = self.free_subnet()
        self.control_ips = [f"{self.subnet}.{10 + index}" for index in range(controls)]
        self.controls = [Process(self, "control", index, ip)
                         for index, ip in enumerate(self.control_ips)]
        self.entries = [Process(self, "entry", index, f"{self.subnet}.{50 + index}")
                        for index in range(entries)]
        self.version = 0

    @staticmethod
    def free_subnet():
        for _ in range(50):
            subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for last, port in ((10, CONTROL), (50, FRONT), (50, READY), (10, INTERNAL)):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.{last}", port))
                return subnet
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    @property
    def processes(self):
        return self.controls + self.entries

    def start(self):
        for process in self.processes:
            process.start()

    async def configure(self, configuration):
        """Sends a configuration as the operator does, until it is acknowledged."""
        self.version += 7
        body = json.dumps(configuration | {"version": self.version}).encode()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            for ip in self.control_ips:
                try:
                    status, _, _ = await asyncio.wait_for(
                        call(ip, CONTROL, "POST", "/configuration/replace", body), 2)
                except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
                    continue
                self.record.write("config", version=self.version, status=status)
                if status == 200:
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def wait_until_ready(self, entries=None, within=20):
        deadline = time.monotonic() + within
        for entry in entries or self.entries:
            while True:
                try:
                    status, _, _ = await asyncio.wait_for(
                        call(entry.ip, READY, "GET", "/readiness", b""), 1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > deadline:
                    raise CannotRun(f"{entry.name} was not ready in {within} s")
                await asyncio.sleep(0.05)
            self.record.write("ready", process=entry.name)

    async def open_entry(self, deadline):
        """Returns an entry, drawn at random, that takes channels; asks every 0.1 s until there is one."""
        while time.monotonic() < deadline:
            for entry in random.sample(self.entries, len(self.entries)):
                try:
                    _, writer = await asyncio.open_connection(entry.ip, FRONT)
                    writer.transport.abort()
                    return entry
                except OSError:
                    continue
            await asyncio.sleep(0.1)
        raise CannotRun("no entry takes channels")

    def end(self):
        for process in self.processes:
            process.end()
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


KEPT = set()


def keep(coroutine):
    """Runs a coroutine in the background."""
    task = asyncio.create_task(coroutine)
    KEPT.add(task)
    task.add_done_callback(KEPT.discard)
    return task


def parse_head(raw):
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    return parse_head(raw[:-4])


async def read_chunks(reader, on_data):
    """Reads a chunked body. Returns once its last chunk has come; raises where it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_data(data[:-2])


async def call(ip, port, method, path, body, headers=()):
    """One call on a channel of its own. Returns status, headers and body."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        text = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nContent-Type: application/json\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers)
        text += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(text.encode() + body)
        line, headers = await read_head(reader)
        parts = []
        if headers.get("transfer-encoding"):
            await read_chunks(reader, parts.append)
        else:
            parts.append(await reader.readexactly(int(headers.get("content-length", 0))))
        return int(line.split()[1]), headers, b"".join(parts)
    finally:
        writer.transport.abort()


class Server:
    """A server (replica) as PROTOCOL.md describes it: it checks Expected-Instance, echoes Attempt-Id,
    seals its answers, and checks in at a control instance about every heartbeatMs."""

    def __init__(self, fleet, index, service, software, ip=None, models=None, slots=64):
        self.fleet, self.index, self.service, self.software = fleet, index, service, software
        self.id = f"i-{service}-{index:02d}"
        self.ip = ip or f"{fleet.subnet}.{100 + index}"
        self.port = 8080
        self.slots = slots
        # Models that are resident; None for a server without an engine.
        self.models = None if models is None else list(models)
        # Adapters that are resident, with their models.
        self.adapters = []
        self.adapter_slots = None
        # Orders that loaded more than the slots hold.
        self.over_limit = []
        # Returns whether an order is to be left unanswered and carried out this much later.
        self.late = lambda order: None
        # Models of which there are copies on disk.
        self.disk = list(models or [])
        self.load_s = 1.2
        self.fence = 0
        self.busy = None
        self.sequence = 0
        self.orders = 0
        self.born = 0
        self.up = False
        self.writers = set()
        self.tasks = set()
        self.beats = None
        self.beat_delay = 0.0
        self.listener = None
        self.running = 0
        self.leaving = False
        # Called for each request that is not a report or an order; answers it.
        self.work = None

    @property
    def name(self):
        return f"{self.id}@{self.born}"

    async def start(self, software=None):
        """Starts a new lifetime under the same id."""
        self.software = software or self.software
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.orders = 0
        self.running = 0
        self.leaving = False
        self.listener = await asyncio.start_server(self.accept, self.ip, self.port, backlog=256)
        self.up = True
        self.fleet.record.write("server-up", server=self.name, software=self.software)
        self.beats = asyncio.create_task(self.check_in())

    async def crash(self):
        """Ends the lifetime: all channels are reset and the port listens no more."""
        self.fleet.record.write("server-down", server=self.name)
        self.up = False
        if self.models is not None:
            # Replicas restart empty.
            self.models = []
            self.adapters = []
        if self.busy:
            self.busy.cancel()
            self.busy = None
        self.beats.cancel()
        self.listener.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    def beat(self):
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": ZONES[self.index % 3], "version": self.software, "slots": self.slots,
            "state": "draining" if self.leaving else "ready", "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.born,
        }
        if self.models is not None:
            body |= {"stage": "prefill_decode", "models": self.resident(),
                     "atHand": {"inMemory": [], "onDisk": self.disk}}
        return json.dumps(body).encode()

    def resident(self):
        held = {model: [name for owner, name in self.adapters if owner == model]
                for model in self.models}
        return [{"name": model, "version": 1, "adapters": names} for model, names in held.items()]

    async def check_in(self):
        await asyncio.sleep(0)
        while True:
            keep(self.deliver(self.beat(), self.born, self.sequence))
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def deliver(self, body, born, sequence):
        """Delivers one check-in, `beat_delay` late; calls the next node where one doesn't answer."""
        delay = self.beat_delay
        if delay:
            await asyncio.sleep(delay)
        nodes = random.sample(self.fleet.control_ips, len(self.fleet.control_ips))
        for ip in nodes:
            try:
                path = f"/instances/{self.id}/heartbeat"
                status, _, _ = await asyncio.wait_for(call(ip, CONTROL, "POST", path, body), 1)
            except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
                continue
            if delay or sequence <= 2:
                self.fleet.record.write("check-in", server=f"{self.id}@{born}", sequence=sequence,
                                        late_s=delay, status=status)
            if status // 100 == 2:
                return

    def take_order(self, body):
        """Answers an order for a model or an adapter as PROTOCOL.md says. A load of a model takes
        `load_s`; adapters load and unload at once, which makes the server not busy."""
        order = json.loads(body)
        status = self.judge_order(order)
        self.fleet.record.write("order", server=self.name, body=body.decode(), status=status,
                                sequence=self.orders)
        return status

    async def deliver_late(self, body, expected, late_s):
        """An order that is on its way for seconds reaches whoever has the address then."""
        await asyncio.sleep(late_s)
        if self.up and expected in (None, self.id):
            self.fleet.record.write("order-late", server=self.name)
            self.take_order(body)

    def holds(self, named):
        model, _, adapter = named.partition("/")
        return model in self.models and (not adapter or (model, adapter) in self.adapters)

    def judge_order(self, order):
        if "holder" not in order or "fencingToken" not in order or self.models is None:
            return 400
        if order["fencingToken"] < self.fence:
            return 412
        self.fence = order["fencingToken"]
        if order.get("expected", self.orders) != self.orders:
            return 409
        loads, model, adapter = order["operation"] == "loading", order["model"], order.get("adapter")
        if adapter is None:
            if self.busy:
                return 409
            if loads == (model in self.models):
                return 200
            self.orders += 1
            self.busy = asyncio.create_task(self.carry_out(order))
            return 202
        if model not in self.models:
            return 421
        if loads == ((model, adapter) in self.adapters):
            return 200
        self.orders += 1
        if not loads:
            self.adapters.remove((model, adapter))
            return 200
        self.adapters.append((model, adapter))
        if self.adapter_slots is not None and len(self.adapters) > self.adapter_slots:
            self.over_limit.append(dict(order, adapters=len(self.adapters)))
            self.fleet.record.write("over-limit", server=self.name, order=json.dumps(order),
                                    adapters=len(self.adapters), slots=self.adapter_slots)
            # A replica that is ordered to load more than adapterSlots crashes.
            keep(self.crash())
        return 202

    async def carry_out(self, order):
        if order["operation"] == "loading":
            await asyncio.sleep(self.load_s)
            self.models.append(order["model"])
        else:
            self.models.remove(order["model"])
            self.adapters = [held for held in self.adapters if held[0] != order["model"]]
        self.busy = None

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        born = self.born
        try:
            while self.up and self.born == born:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = line.split()
                await self.handle(method, path, headers, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, method, path, headers, body, reader, writer):
        expected = headers.get("expected-instance")
        if expected and expected != self.id:
            reply(writer, 421, [("Instance-Id", self.id)])
        elif headers.get("model") and self.models is not None and not self.holds(headers["model"]):
            attempt = headers.get("attempt-id", "")
            reply(writer, 421, [("Attempt-Id", attempt), ("Not-Executed", "1")])
        elif path == "/report":
            report = {"stage": "prefill_decode", "models": self.resident() if self.models is not None else [],
                      "busy": bool(self.busy), "sequence": self.orders, "waiting": 0, "running": self.running,
                      "kvCacheUsed": 0, "kvCacheTotal": 144538, "handles": 0, "born": self.born}
            reply(writer, 200, [("Content-Type", "application/json")], json.dumps(report).encode())
        elif path == "/health":
            reply(writer, 200, [("Instance-Id", self.id)])
        elif path == "/order":
            late_s = self.late(json.loads(body))
            if late_s is not None:
                self.fleet.record.write("order-unanswered", server=self.name, body=body.decode(),
                                        late_s=late_s)
                keep(self.deliver_late(body, expected, late_s))
                # No answer: the sender gives up in its own time.
                await asyncio.sleep(late_s)
                return
            reply(writer, self.take_order(body))
        else:
            self.running += 1
            try:
                await self.work(self, headers, body, reader, writer)
            finally:
                self.running -= 1


def reply(writer, status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers)
    writer.write(text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


async def left(reader):
    """Returns once the peer has closed the channel."""
    await reader.read(1)


def streamer(record, events, pause, prefill=0.0):
    """Work of a server that streams numbered events, each with the software that made it."""

    async def work(server, headers, _body, reader, writer):
        attempt = headers.get("attempt-id", "")
        software, name = server.software, server.name
        first = int(headers.get("last-event-id", 0)) + 1
        record.write("run", server=name, software=software, attempt=attempt, first=first)
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{name}\r\n"
                f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(head.encode())
        gone = asyncio.create_task(left(reader))
        try:
            await asyncio.wait({gone}, timeout=prefill)
            for number in range(first, events + 1):
                event = f"id: {number}\ndata: {number} {software} {name}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                done, _ = await asyncio.wait({gone}, timeout=pause)
                if done:
                    record.write("left", server=name, attempt=attempt, after=number)
                    raise asyncio.CancelledError
        finally:
            gone.cancel()
            # The cancelled read must have ended before the next request is read.
            await asyncio.gather(gone, return_exceptions=True)
        writer.write(b"0\r\n\r\n")
        record.write("ran", server=name, attempt=attempt)

    return work


class Stream:
    """What a client got of one stream, over all its attempts."""

    def __init__(self):
        self.events = []  # (number, software, server)
        self.status = None
        self.complete = False
        self.attempts = []
        # Seconds after which the last refusal asked the client to come back.
        self.retry_after = 0.0

    @property
    def last(self):
        return self.events[-1][0] if self.events else None

    @property
    def softwares(self):
        return sorted({software for _, software, _ in self.events})


async def ask_stream(record, ip, path, stream, headers=(), max_wait_ms=15000, until=None, body=b"hi"):
    """One client attempt at a stream. With `until` the client's channel breaks at that event."""
    attempt = f"{random.getrandbits(64):016x}"
    resumes = stream.attempts[0] if stream.attempts else None
    buffer = b""

    class Broke(Exception):
        pass

    def on_data(data):
        nonlocal buffer
        buffer += data
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            lines = event.decode().split("\n")
            number = int(lines[0].removeprefix("id: "))
            _, software, server = lines[1].removeprefix("data: ").split()
            if not stream.events:
                stream.attempts.append(attempt)
            stream.events.append((number, software, server))
            if until and until():
                raise Broke

    reader, writer = await asyncio.open_connection(ip, FRONT)
    try:
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
                 f"Deadline-Remaining: {max_wait_ms}"]
        if stream.last is not None:
            lines += [f"Last-Event-Id: {stream.last}", f"Resumes: {resumes}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        record.write("sent", entry=ip, attempt=attempt, after=stream.last)
        line, answered = await read_head(reader)
        stream.status = int(line.split()[1])
        if stream.status == 200:
            await read_chunks(reader, on_data)
            stream.complete = True
        else:
            text = await reader.readexactly(int(answered.get("content-length", 0)))
            stream.retry_after = float(answered.get("retry-after", 0))
            record.write("refused", attempt=attempt, status=stream.status, body=text.decode(),
                         retry_after=answered.get("retry-after"))
    except Broke:
        record.write("channel-broken", attempt=attempt, last=stream.last)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        stream.status = stream.status or 0
        record.write("channel-ended", attempt=attempt, last=stream.last, why=type(error).__name__)
    finally:
        writer.transport.abort()
    record.write("answered", attempt=attempt, status=stream.status, last=stream.last,
                 complete=stream.complete, softwares="+".join(stream.softwares))
    return stream


def main(case, scenario):
    """Runs a scenario. It returns why the rule was broken, or None. Exits with 1 if the rule was
    broken, with 0 if it held, and with 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(case) / "record.txt")
    record.write("case", trouble=trouble)
    # Ends the processes also where the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    fleet = None
    status = 2
    try:
        fleet = Fleet(record)
        broken = asyncio.run(asyncio.wait_for(scenario(fleet, record, trouble), 110))
        record.write("verdict", broken=broken or "no")
        print(f"broken: {broken}" if broken else "held")
        status = 1 if broken else 0
    except CannotRun as error:
        record.write("cannot-run", why=error)
        print(f"could not run: {error}", file=sys.stderr)
    except Exception as error:  # A fault of the script is no verdict.
        record.write("cannot-run", why=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        if fleet:
            fleet.end()
    sys.exit(status)
