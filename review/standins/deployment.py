"""Stand-ins for a small deployment: the platform's store, workers, clients and entry processes.

Everything listens on loopback addresses of one free 127.x.y.0/24 range, one address for each machine, so
that the ports are the same on all machines, as on the platform. Nothing outside of the temporary folder
and of the case's record.txt is written.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STORE_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT, WORKER_PORT = 8225, 8221, 8224, 8229, 8080
HEARTBEAT_MS = 1200
HOST = "ficu95.example"
KEY, TENANT = "i9n73hh2b9wu3fexd9dn", "hule930"
# The bounds of the small sites.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "revert_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 56, "quota_window_s": 8,
    "quota_overshoot": 0.25, "quota_slack": 140000, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 10,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


def free_network():
    """The first three bytes of a loopback range in which no address of the deployment is in use."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for last, port in ((1, STORE_PORT), (11, FRONT_PORT), (12, FRONT_PORT), (101, WORKER_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback range")


class Record:
    """Lines with the time since the start of the case, kept for the verdict and written to record.txt."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self.file.flush()


class Message:
    """The head and body of a request or an answer."""

    def __init__(self, first, fields, body=b""):
        self.first, self.fields, self.body = first, fields, body
        self.complete = True

    def __getitem__(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader, is_answer=False):
    """Reads one message; None if the channel ends before its first byte. An answer that breaks off is
    returned with complete = False."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    message = Message(lines[0], fields)
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                message.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in fields:
            message.body = await reader.readexactly(int(fields["content-length"]))
        elif is_answer:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.complete = False
    except (ConnectionError, ValueError):
        message.complete = False
    return message


def answer(status, fields=None, body=b""):
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in (fields or {}).items():
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def abort(writer):
    """Resets a channel."""
    try:
        channel = writer.get_extra_info("socket")
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Store:
    """The platform's store, reading calls only. Its writes are made through put and remove."""

    def __init__(self, network, record):
        self.address, self.record = f"{network}.1", record
        self.items, self.events, self.revision = {}, [], 100
        self.changed = asyncio.Event()
        self.writers, self.waiting = set(), set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, STORE_PORT)

    async def put(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision + 1)
        item = {"key": key, "value": text, "revision": self.revision + 1, "created": created, "lease": 0}
        self.items[key] = item
        self.add_event(item)

    async def remove(self, key):
        if self.items.pop(key, None):
            self.add_event({"key": key, "revision": self.revision + 1, "removed": True})

    def add_event(self, event):
        self.revision += 1
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def cut_watches(self, timeout=5):
        """Closes each of the present channels once, while a watch on it waits for an event."""
        left, end = set(self.writers), time.monotonic() + timeout
        while left and time.monotonic() < end:
            for writer in left & self.waiting:
                left.discard(writer)
                self.waiting.discard(writer)
                self.record("the store cuts a waiting watch")
                writer.close()
            await asyncio.sleep(0.005)
        if left:
            raise CannotRun("a watch never waited")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(request.first.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if url.path == "/kv-watch":
                    self.waiting.add(writer)
                reply = await self.reply(url.path, query)
                if url.path == "/kv-watch" and writer not in self.waiting:
                    return
                self.waiting.discard(writer)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = {"items": [self.items[k] for k in keys[:500]], "more_pages": len(keys) > 500}
        elif path == "/kv-watch":
            after = int(query["after"])

            def found():
                return [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]

            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while not found() and (left := end - time.monotonic()) > 0:
                await asyncio.wait([asyncio.ensure_future(self.changed.wait())], timeout=left)
            page = {"events": found()}
        elif path == "/kv-key" and query.get("key") in self.items:
            page = dict(self.items[query["key"]])
        else:
            return answer(404)
        page["store_revision"] = self.revision
        return answer(200, {"Content-Type": "application/json"}, json.dumps(page).encode())


class Run:
    """One run of a request at a worker."""

    def __init__(self, worker, request):
        self.worker, self.id, self.request = worker, request["X-Request-Id"], request
        self.begun, self.ended, self.dropped = time.monotonic(), None, False


class Worker:
    """A sound worker. The way in which it answers is a coroutine serve(worker, run, reader, writer)."""

    def __init__(self, network, last, service, store, record, serve, slots=6):
        self.address, self.service, self.store, self.record = f"{network}.{last}", service, store, record
        self.id, self.serve_run, self.slots = f"i-{last:04x}{random.randint(0, 1 << 24):06x}", serve, slots
        self.runs, self.sequence, self.state, self.beat = [], 0, "ready", None
        self.zone = "varna-a"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, WORKER_PORT, limit=1 << 20)
        self.born = int(time.time() * 1000)
        self.beat = asyncio.create_task(self.beats())
        await self.publish()

    async def publish(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.address}:{WORKER_PORT}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "born": self.born, "sequence": self.sequence,
        })  # fmt: skip

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self.publish()

    async def exit(self):
        """Ends the process: its channels end, and nothing listens any more."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        self.record(f"worker {self.id} exits")

    async def crash(self):
        """Like exit, unplanned: the store removes the entry after three heartbeat intervals."""
        await self.exit()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
            await self.store.remove(f"servers/{self.id}")

        self.expiry = asyncio.create_task(expire())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if request["X-Expect-Instance"] not in ("", self.id):
                    writer.write(answer(421, {"X-Request-Id": request["X-Request-Id"],
                                              "X-Instance-Id": self.id}))
                    continue
                if not request.complete:
                    return
                run = Run(self, request)
                self.runs.append(run)
                self.record(f"worker {self.id} runs {run.id}: {request.first}")
                await self.serve_run(self, run, reader, writer)
                run.ended = time.monotonic()
                self.record(f"worker {self.id} has ended {run.id}")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def seal(run, body):
    return {"X-Request-Id": run.id, "X-Response-Seal": f"{run.id}.{len(body)}.{sum(body) & 0xFFFFFF:x}"}


def plain_service(work_s, body=b"done", status=200, fields=None):
    """Answers after a time with a sealed body."""

    async def serve(worker, run, reader, writer):
        await asyncio.sleep(work_s(run) if callable(work_s) else work_s)
        writer.write(answer(status, {**seal(run, body), **(fields or {})}, body))
        await writer.drain()

    return serve


def event_stream(pieces, gap_s, step=1, before_piece=None):
    """Answers with a stream of events with the ids step, 2 * step and so on, and goes on behind
    Last-Event-Id. before_piece(worker, run, number) may end the run by returning True."""

    async def serve(worker, run, reader, writer):
        head = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **seal(run, b"")}
        text = "HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write((text + "\r\n").encode())
        done = int(run.request["Last-Event-Id"] or 0) // step
        for number in range(done + 1, pieces + 1):
            if before_piece and await before_piece(worker, run, number):
                return
            event = f"id: {number * step}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return serve


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, network, last, seeds, folder, record, memory_mb=260, name=None, zone="varna-a"):
        self.ip, self.record = f"{network}.{last}", record
        self.name = name or f"front-{zone}-{last}"
        self.memory_mb, self.process, self.exits = memory_mb, None, []
        self.settings = pathlib.Path(folder) / f"boot-{last}.yaml"
        self.log = pathlib.Path(folder) / f"log-{last}.txt"
        # JSON is YAML too.
        self.settings.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front",
            "serves": ["front", "control"], "ip": self.ip, "zone": zone, "region": "varna",
            "zones": {"varna-a": "varna", "varna-b": "varna", "varna-c": "varna"},
            "listen": {"front": f"{self.ip}:{FRONT_PORT}", "ready_addr": f"{self.ip}:{READY_PORT}",
                       "control": f"{self.ip}:{CONTROL_PORT}"},
            "internal_ports": [7600, 7615], "seeds": [f"{network}.{s}:{CONTROL_PORT}" for s in seeds],
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.19, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "quota", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "contract_bounds": BOUNDS,
            "platform": {"address": f"{network}.1:{STORE_PORT}", "form": "read", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000},
        }))  # fmt: skip

    async def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^\[roles\.entry\]\nrun = "(.*)"$', deploy, re.MULTILINE).group(1).split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.settings.parent), "LANG": "C.UTF-8",
                       "BRONZERING_CONFIG": str(self.settings)}  # fmt: skip
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"entry {self.name} started")
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        self.exits.append(code)
        self.record(f"entry {self.name} ended with {code}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            got = await asyncio.wait_for(read_message(reader, True), 1)
            writer.close()
            return got is not None and got.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await self.is_ready():
                self.record(f"entry {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"entry {self.name} is not ready")

    def signal(self, number):
        self.record(f"entry {self.name} gets {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()


class Reply:
    """What a client saw for one request."""

    def __init__(self, request_id):
        self.id, self.message, self.sent, self.done = request_id, None, time.monotonic(), None

    @property
    def text(self):
        if self.message is None:
            return "channel closed without an answer"
        whole = "" if self.message.complete else ", incomplete"
        return f"{self.message.status}, {len(self.message.body)} bytes{whole}"


class Client:
    """A requester's kept channel."""

    def __init__(self, entry, record):
        self.entry, self.record = entry, record

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.ip, FRONT_PORT, limit=1 << 20
        )

    async def ask(self, path, method="POST", body=b"", deadline_ms=15000, fields=None, key=KEY,
                  request_id=None):  # fmt: skip
        reply = Reply(request_id or f"{random.getrandbits(64):016x}")
        head = {"Host": HOST, "X-Request-Id": reply.id, "X-Request-Deadline-Ms": deadline_ms,
                "Authorization": f"Bearer {key}"}  # fmt: skip
        if method != "GET":
            head["Content-Length"] = len(body)
        head.update(fields or {})
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in head.items())
        self.record(f"client sends {reply.id} to {self.entry.name}: {method} {path}, {len(body)} bytes")
        try:
            self.writer.write((text + "\r\n").encode() + body)
            await self.writer.drain()
            reply.message = await read_message(self.reader, True)
        except ConnectionError:
            pass
        reply.done = time.monotonic()
        self.record(f"client got for {reply.id}: {reply.text}")
        return reply

    def close(self):
        self.writer.close()


def route(name, prefix, service, kind, timeout_ms, goal_ms=300, priority=1, attempts=1, **more):
    spec = {"name": name, "host": HOST, "prefix": prefix, "route_type": kind, "timeout_ms": timeout_ms,
            "goal_ms": goal_ms, "priority": priority, "service": service, "max_attempts": attempts,
            "public": False, "sticky": False, "resumable": False}  # fmt: skip
    return {**spec, **more}


def configuration(version, routes, services, keys=(KEY,), **more):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1",
                      "tls": False, **extra} for name, extra in services.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": list(keys), "priority": 1, "unit": "token_count",
                     "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
        **more,
    }  # fmt: skip


class Deployment:
    """The store, the workers and the entries of one case, and the folder with settings and logs."""

    def __init__(self, record):
        self.record, self.network = record, free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bronzering-review-"))
        self.store, self.workers, self.entries = Store(self.network, record), [], []

    async def add_worker(self, service, serve, **more):
        worker = Worker(self.network, 101 + len(self.workers), service, self.store, self.record, serve,
                        **more)  # fmt: skip
        self.workers.append(worker)
        await worker.start()
        return worker

    async def add_entry(self, **more):
        last = 11 + len(self.entries)
        entry = Entry(self.network, last, [11, 12, 13], self.folder, self.record, **more)
        self.entries.append(entry)
        await entry.start()
        return entry

    def runs(self):
        return [run for worker in self.workers for run in worker.runs]

    async def stop(self):
        for entry in self.entries:
            await entry.kill()
        for server in [self.store, *self.workers]:
            for writer in list(server.writers):
                abort(writer)
        await asyncio.sleep(0.1)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case_folder, case):
    """Plays a case: case(deployment, trouble) returns whether the rule held. Exits with 0 if it held, 1 if
    it was broken, 2 if the case could not run."""
    record = Record(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = None
        try:
            deployment = Deployment(record)
            await deployment.store.start()
            return await asyncio.wait_for(case(deployment, trouble), 100)
        finally:
            if deployment:
                if os.environ.get("KEEP_LOGS"):
                    shutil.copytree(deployment.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
                await deployment.stop()

    try:
        held = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    verdict = "the rule held" if held else "the rule was broken"
    record(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
