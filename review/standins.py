"""
Stand-ins of the platform's store, of backends and of clients, and process control.

Only the standard library is used. All stand-ins run in the process of a case; the
programs under test run as separate processes with the commands of the deploy file.
"""

# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204
from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import urlsplit


ROOT = Path(__file__).resolve().parent.parent
HEADER = struct.Struct("<B3sIHIIIIIHH")
SYN, ACK, FIN, RST, BOUNCED = 16, 4, 32, 8, 128
SUM = 0x0C0FFEE0  # the sum is not disclosed; the stand-ins only carry it
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableWindowMs": 4000,
    "AckTimeoutMs": 5000,
    "CatchUpS": 4,
    "DrainTimeoutMs": 3000,
    "GracePeriodS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 12000,
    "RecoveryS": 12,
    "FlowReorderMs": 2000,
    "FlowTtlS": 60,
}
DRAIN_TIMEOUT_S = BOUNDS["DrainTimeoutMs"] / 1000
REUSE_AFTER_S = BOUNDS["ReuseAfterS"]
WORK_S = (0.05, 0.05)  # what the work of a request takes
HEARTBEAT_S = 1.2  # HeartbeatMs of hayashida-wire
ROUTE_HOST = "127.198.0.1"  # an address of the platform; nothing is bound there


def ip_number(text):
    """Return an IPv4 address as the number that the header carries."""
    return int.from_bytes(socket.inet_aton(text), "big")


def ip_text(number):
    """Return the dotted form of an address of the header."""
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    """One packet of a flow."""

    def __init__(self, data):
        """Decode a datagram."""
        self.data = data
        fields = HEADER.unpack_from(data)
        self.flags, self.pad, _, self.length, self.seq, self.ack, self.echo = fields[:7]
        dst, src, self.dport, self.sport = fields[7:]
        self.dst, self.src = ip_text(dst), ip_text(src)
        self.payload = data[HEADER.size :]


def encode(src, sport, dst, dport, *, flags, seq, ack, payload=b""):
    """Return the bytes of a packet."""
    numbers = (ip_number(dst), ip_number(src), dport, sport)
    head = HEADER.pack(flags, bytes(3), SUM, len(payload), seq, ack, 0, *numbers)
    return head + payload


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        """Open the file in the folder of the case."""
        self.started = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, text):
        """Write one line with its time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: items, ranges and watches over HTTP/1.1."""

    def __init__(self, record, host, port):
        """Create an empty store for one address."""
        self.record, self.host, self.port = record, host, port
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.is_silent = False

    async def start(self):
        """Listen."""
        await asyncio.start_server(self._serve, self.host, self.port)

    async def put(self, key, value, note=""):
        """Write an item; the return is the ack."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        async with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("Created", self.revision)
            text = base64.b64encode(value).decode()
            item = {"Key": key, "Value": text, "Revision": self.revision}
            item |= {"Created": created, "Lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        self.record.write(f"store: acknowledged write of {key} {note}")
        return time.monotonic()

    async def remove(self, key, note=""):
        """Remove an item."""
        async with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            event = {"Key": key, "Revision": self.revision, "Removed": True}
            self.events.append(event)
            self.changed.notify_all()
        self.record.write(f"store: removed {key} {note}")

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                if self.is_silent:
                    await asyncio.sleep(3600)
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                lines = [
                    f"HTTP/1.1 {status} X",
                    "Content-Type: application/json",
                    f"Content-Length: {len(data)}",
                ]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, item | {"StoreRevision": self.revision}
        prefix = query.get("Prefix", "")
        if url.path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            body = {"items": [self.items[k] for k in keys], "Truncated": False}
            return 200, body | {"StoreRevision": self.revision}
        if url.path == "/v1/kv-watch":
            return 200, await self._watch(prefix, query)
        return 404, {}

    async def _watch(self, prefix, query):
        after = int(query["after"])
        ends = time.monotonic() + int(query.get("WaitMs", "0")) / 1000

        def found():
            return [
                e
                for e in self.events
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]

        async with self.changed:
            while not found() and time.monotonic() < ends:
                try:
                    left = ends - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.001))
                except TimeoutError:
                    break
            return {"events": found(), "StoreRevision": self.revision}


class Backend(asyncio.DatagramProtocol):
    """One start of a backend: answers flows, runs requests, keeps its entry."""

    def __init__(self, *, record, store, identifier, service, host, ports):
        """Prepare a backend at ``host``; ``ports`` has those of app and outbound."""
        self.record, self.store = record, store
        self.identifier, self.service, self.host = identifier, service, host
        self.app, self.outbound = ports["app"], ports["outbound"]
        self.born = int(time.time() * 1000)
        self.state, self.count, self.work_s = "ready", 0, WORK_S
        self.flows = {}
        self.opened = []  # (moment, client, port, route port, balancer unknown)
        self.runs = []  # (moment, request id, route port)
        self.transport = self.server = self.beat = None

    @property
    def key(self):
        """The key of the entry."""
        return f"servers/{self.identifier}"

    def entry(self, **changes):
        """Return the entry in the store."""
        fields = {
            "Service": self.service,
            "Address": f"{self.host}:{self.app}",
            "Zone": "a",
            "Version": "v1",
            "Concurrency": 4,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self.count,
            "born": self.born,
        }
        return fields | changes

    async def start(self):
        """Open the sockets and write the entry."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.app)
        )
        self.server = await asyncio.start_server(self._health, self.host, self.app)
        self.heard_at = time.monotonic()
        await self.publish()
        self.beat = asyncio.create_task(self._beat())
        self.record.write(f"backend {self.identifier} of {self.service} has started")

    async def publish(self):
        """Write the entry; the return is the moment of the ack."""
        self.count += 1
        return await self.store.put(self.key, self.entry(), f"({self.state})")

    async def _beat(self):
        # A heartbeat that changes no more than the count renews the entry only.
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.count += 1
            self.heard_at = time.monotonic()

    async def crash(self):
        """End at once, as with the loss of the machine's power."""
        self.beat.cancel()
        self.transport.close()
        self.server.close()
        self.record.write(f"backend {self.identifier} of {self.service} is gone")
        asyncio.create_task(self._expire())

    async def _expire(self):
        # The store removes the entry after three heartbeat intervals of silence.
        left = self.heard_at + 3 * HEARTBEAT_S - time.monotonic()
        await asyncio.sleep(max(0.0, left))
        await self.store.remove(self.key, "(three heartbeat intervals of silence)")

    async def _health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def connection_made(self, transport):
        """Keep the transport of the socket."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore errors of earlier sends."""

    def datagram_received(self, data, addr):
        """Process one packet from the node on the machine."""
        del addr
        if len(data) < HEADER.size:
            return
        packet = Packet(data)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            self._on_opening(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or (not flow["open"] and packet.ack != flow["seq"]):
            self._bounce(data)
            return
        flow["open"] = True
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.payload:
            self._on_payload(key, flow, packet)
        if packet.flags & FIN:
            self._send(key, FIN | ACK, flow["seq"] + flow["sent"], packet.seq)

    def _on_opening(self, key, packet):
        flow = self.flows.get(key)
        if flow is None:
            flow = {"seq": random.randrange(1, 2**31), "open": False, "sent": 0}
            flow |= {"answers": {}}
            self.flows[key] = flow
            self.opened.append((time.monotonic(), *key))
            self.record.write(
                f"backend {self.identifier} of {self.service} takes the flow {key}"
            )
        self._send(key, SYN | ACK, flow["seq"], packet.seq)

    def _on_payload(self, key, flow, packet):
        if packet.seq in flow["answers"]:
            answer = flow["answers"][packet.seq]
            if answer is not None:
                self._send(key, ACK, answer[0], answer[1], answer[2])
            return
        flow["answers"][packet.seq] = None
        text = packet.payload.decode()
        identifier = text.split("Request-Id: ", 1)[1].split("\r\n", 1)[0]
        self.runs.append((time.monotonic(), identifier, key[3]))
        self.record.write(
            f"backend {self.identifier} of {self.service} ({self.state}) runs "
            f"request {identifier}"
        )
        loop = asyncio.get_running_loop()
        work_s = random.uniform(*self.work_s)
        loop.call_later(work_s, self._answer, key, flow, packet, identifier)

    def _answer(self, key, flow, packet, identifier):
        body = f"{self.identifier} {identifier}"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        data = f"{head}Response-Signature: s\r\n\r\n{body}".encode()
        ack = packet.seq + len(packet.payload)
        flow["answers"][packet.seq] = (flow["seq"] + flow["sent"], ack, data)
        self._send(key, ACK, flow["seq"] + flow["sent"], ack, data)
        flow["sent"] += len(data)

    def _send(self, key, flags, seq, ack, payload=b""):
        client, port, route, route_port = key
        ends = (route, route_port, client, port)
        data = encode(*ends, flags=flags, seq=seq, ack=ack, payload=payload)
        if not self.transport.is_closing():
            self.transport.sendto(data, (self.host, self.outbound))

    def _bounce(self, data):
        returned = bytearray(data)
        returned[0] |= BOUNCED
        returned[1:4] = bytes(3)
        self.transport.sendto(bytes(returned), (self.host, self.outbound))


class Client(asyncio.DatagramProtocol):
    """A client machine; each request is sent on a flow of its own."""

    def __init__(self, *, record, host, port):
        """Prepare a client at ``host``, where packets come to ``port``."""
        self.record, self.host, self.port = record, host, port
        self.next_port = 20000
        self.flows = {}
        self.resets = []
        self.transport = None

    async def start(self):
        """Open the socket."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )

    def connection_made(self, transport):
        """Keep the transport of the socket."""
        self.transport = transport

    def error_received(self, exc):
        """Ignore errors of earlier sends."""

    def datagram_received(self, data, addr):
        """Pass a packet to its flow."""
        del addr
        packet = Packet(data)
        queue = self.flows.get(packet.dport)
        if queue is not None:
            queue.put_nowait(packet)

    async def request(self, *, router, route_port, identifier, budget_s=2.5):
        """Send one request on a new flow; return its outcome."""
        port = self.next_port
        self.next_port += 1
        queue = self.flows[port] = asyncio.Queue()
        try:
            async with asyncio.timeout(budget_s):
                outcome = await self._exchange(
                    queue, port, router, route_port, identifier
                )
        except TimeoutError:
            outcome = "no answer"
        self.flows.pop(port, None)
        self.record.write(f"client: request {identifier} from port {port}: {outcome}")
        return outcome

    async def _exchange(self, queue, port, router, route_port, identifier):
        def send(flags, seq, ack, payload=b""):
            ends = (self.host, port, ROUTE_HOST, route_port)
            data = encode(*ends, flags=flags, seq=seq, ack=ack, payload=payload)
            self.transport.sendto(data, router())

        self.record.write(f"client: request {identifier} opens a flow, port {port}")
        first = random.randrange(1, 2**31)
        opened = None
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            send(SYN, first, copy)
            opened = await receive(queue, wait_s, SYN | RST)
            if opened is not None:
                break
        if opened is None:
            return "not opened"
        if opened.flags & RST:
            return "reset"
        text = f"POST /work HTTP/1.1\r\nHost: x\r\nRequest-Id: {identifier}\r\n\r\n"
        ack, wait_s = opened.seq, 0.2
        while True:
            send(ACK, first, ack, text.encode())
            answer = await receive(queue, wait_s, RST, payload=True)
            if answer is not None:
                break
            wait_s = min(wait_s * 2, 1.6)
        if answer.flags & RST:
            self.resets.append((identifier, answer.seq))
            return "reset after opening"
        send(FIN | ACK, first + len(text), answer.seq + len(answer.payload))
        status, _, body = answer.payload.decode().partition("\r\n\r\n")
        return f"{status.split()[1]} from {body}"


async def receive(queue, wait_s, flags, *, payload=False):
    """Return the next packet with one of the flags, or with a payload."""
    ends = time.monotonic() + wait_s
    while True:
        left = ends - time.monotonic()
        if left <= 0:
            return None
        try:
            packet = await asyncio.wait_for(queue.get(), left)
        except TimeoutError:
            return None
        if packet.flags & flags or (payload and packet.payload):
            return packet


class Node:
    """A balancer or an agent: a program that runs on a machine of its own address."""

    def __init__(self, *, site, role, name, host, service=""):
        """Write the settings of the node."""
        self.site, self.role, self.name, self.host = site, role, name, host
        ports = site.ports
        fields = {
            "NodeName": name,
            "Role": role,
            "MachineClass": "side" if service else "frontend",
            "Serves": ["side"] if service else ["frontend", "control_plane"],
            "Ip": host,
            "Zone": "a",
            "Region": "r",
            "Zones": {"a": "r"},
            "Listen": {
                "DatagramListen": f"{host}:{ports['data']}",
                "ReadinessListen": f"{host}:{ports['readiness']}",
                "Control": f"{host}:{ports['control']}",
            },
            "InternalPorts": [ports["peer"], ports["peer"] + 15],
            "Seeds": [f"{seed}:{ports['control']}" for seed in site.seeds],
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": {"CpuShare": 0.5, "Cores": 1, "MemoryMb": 300, "MaxFds": 4100},
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "announce",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "HashMode": "steady",
            "ForwardingMode": "agent",
            "platform": {
                "Address": f"{site.store_host}:{ports['store']}",
                "ForwardingMode": "read",
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "MaxValueBytes": 1048576,
            },
        }
        if service:
            fields["Service"] = service
            fields["app"] = f"{host}:{ports['app']}"
            fields["Listen"]["outbound"] = f"{host}:{ports['outbound']}"
            del fields["Listen"]["Control"]
        self.settings = site.folder / f"{name}.json"
        self.settings.write_text(json.dumps(fields), encoding="utf-8")
        self.log = site.folder / f"{name}.log"
        self.process = None

    @property
    def data_address(self):
        """Where the routers send packets."""
        return (self.host, self.site.ports["data"])

    def start(self):
        """Start the program with the command of the deploy file."""
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["OLEANDERWEIR_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = "target/deps"
        module = f"oleanderweir_platform.{self.role}"
        command = ["python3", "-S", "-O", "-X", "no_debug_ranges", "-m", module]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.site.record.write(f"{self.name} at {self.host} is started")

    def kill(self):
        """Kill the program."""
        self.process.kill()
        self.process.wait()
        self.site.record.write(f"{self.name} is killed")

    def send_signal(self, number):
        """Send a signal to the program."""
        self.process.send_signal(number)
        self.site.record.write(f"{self.name} gets {signal.Signals(number).name}")

    def log_lines(self, code):
        """Return the log lines of a code."""
        lines = []
        for line in self.log.read_text(encoding="utf-8").splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and fields.get("code") == code:
                lines.append(fields)
        return lines

    async def is_ready(self):
        """Probe the readiness of the node, as the platform does."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.host, self.site.ports["readiness"]
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Site:
    """The machines, addresses and processes of one case."""

    def __init__(self, folder, *, seeds):
        """Choose free addresses for the machines; ``seeds`` counts the seeds."""
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        names = ("data", "readiness", "control", "app", "outbound", "store")
        self.prefix, self.ports = choose_addresses(names)
        self.store_host = f"{self.prefix}.250"
        self.seeds = [f"{self.prefix}.{10 + number}" for number in range(seeds)]
        self.store = Store(self.record, self.store_host, self.ports["store"])
        self.nodes = []

    def balancer(self, number):
        """Return the balancer of a number; the first ones are the seeds."""
        node = Node(
            site=self,
            role="balancer",
            name=f"frontend-{number}",
            host=f"{self.prefix}.{10 + number}",
        )
        self.nodes.append(node)
        return node

    def agent(self, name, host_number, service):
        """Return the agent beside the backend of a machine."""
        host = f"{self.prefix}.{host_number}"
        node = Node(site=self, role="agent", name=name, host=host, service=service)
        self.nodes.append(node)
        return node

    def backend(self, identifier, host_number, service):
        """Return a backend of a machine."""
        host = f"{self.prefix}.{host_number}"
        return Backend(
            record=self.record,
            store=self.store,
            identifier=identifier,
            service=service,
            host=host,
            ports=self.ports,
        )

    def client(self, number):
        """Return a client."""
        host = f"{self.prefix}.{200 + number}"
        return Client(record=self.record, host=host, port=self.ports["data"])

    def close(self):
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def choose_addresses(names):
    """Return the prefix of loopback addresses and the ports, all of them free."""
    while True:
        prefix = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        base = random.randrange(20000, 30000)
        ports = {name: base + number for number, name in enumerate(names)}
        ports["peer"] = base + 100
        try:
            for port in (*ports.values(), 9464):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{prefix}.10", port))
        except OSError:
            continue
        return prefix, ports


def route(name, port, service, *, kind="non_idempotent"):
    """Return a route of the desired state."""
    return {
        "Name": name,
        "Host": ROUTE_HOST,
        "Prefix": f"/{port}/",
        "Type": kind,
        "TimeoutMs": 2500,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "MaxAttempts": 2,
        "Service": service,
    }


def desired_state(version, routes):
    """Return the desired state with these routes."""
    names = sorted({entry["Service"] for entry in routes})
    services = [
        {"Name": name, "HealthPath": "/healthz", "MaxConns": 2000, "Protocol": "h1"}
        for name in names
    ]
    limits = {"IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": routes, "Services": services} | {
        "Limits": limits
    }


async def wait_until_ready(nodes, *, timeout_s=15.0):
    """Wait until all nodes report that they are ready."""
    ends = time.monotonic() + timeout_s
    for node in nodes:
        while not await node.is_ready():
            if time.monotonic() > ends:
                raise NotRunError(f"{node.name} is not ready")
            await asyncio.sleep(0.1)


class NotRunError(Exception):
    """The case couldn't run."""


def has_trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, folder, *, seeds):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if it didn't run."""

    async def limited():
        site = Site(folder, seeds=seeds)
        site.record.write(f"disruption: {'yes' if has_trouble() else 'no'}")
        try:
            async with asyncio.timeout(110):
                await site.store.start()
                broken = await play(site)
        except (NotRunError, TimeoutError, OSError) as error:
            site.record.write(f"could not run: {error!r}")
            return 2
        finally:
            site.close()
        for line in broken:
            site.record.write(f"BROKEN: {line}")
        site.record.write("result: " + ("broken" if broken else "held"))
        print("broken" if broken else "held", len(broken))
        return 1 if broken else 0

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    sys.exit(asyncio.run(limited()))
