"""A runner of booking-api crashes for good. Two seconds later a runner of assistant-llm starts at its
address, as the pages allow, while the store still lists the crashed one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

HEARTBEAT = 1.2


def routes():
    return [{"name": "r-slots", "host": "a.example", "path_prefix": "/slots/", "kind": "non_idempotent",
             "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "booking-api", "max_attempts": 1},
            {"name": "r-faq", "host": "a.example", "path_prefix": "/faq/", "kind": "streaming", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 0, "service": "assistant-llm", "max_attempts": 2, "sticky": True,
             "resumable": True, "target_gap_ms": 150}]


def services():
    return [{"name": "assistant-llm", "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": False,
             "engine": {"slots": 32, "kv_tokens": 442678, "token_kv_bytes": 163840, "link_mbps": 1400000.0,
                        "migrations": True, "kv_backups": True, "stride": 7, "most": 12, "kv_hold_s": 5.0,
                        "stage_switch_s": 1.1, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}},
            {"name": "booking-api", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False}]


class LanguageModel(w.Engine):
    """Runs what is sent to its id: runners don't know the routes (X-Target-Instance is their check)."""

    async def run(self, request, writer):
        if not request.path.startswith("/slots/"):
            return await super().run(request, writer)
        self.ran(request)
        answer = f"{self.ident} of {self.service} did {request.target}".encode()
        w.answer(writer, 200, answer, [*self.stamped(request), ("X-Response-Seal", f"seal.{self.ident}")])


async def main(world, trouble):
    await world.store.start()
    booking = [w.Runner(world, f"127.0.3.{i + 1}", f"i-book{i}", "booking-api", zone=world.zones[i]) for i in range(3)]
    models = [LanguageModel(world, f"127.0.2.{i + 1}", f"i-llm{i}", "assistant-llm", slots=32, zone=world.zones[i])
              for i in range(3)]
    for runner in booking + models:
        await runner.start()
    world.configure(7, routes(), services())
    if not await world.start_nodes():
        print("the nodes did not become ready")
        return 2
    await asyncio.sleep(4)
    answers, tasks = [], []

    async def send(number):
        ident = f"slot-{number:03d}"
        try:
            status, headers, _ = await asyncio.wait_for(
                w.simple(world.nodes[number % 4].front, "POST", "/slots/2f",
                         [("X-Request-Id", ident), ("X-Deadline-Ms", "1000")], b"x" * 600), 2)
            answers.append((status, headers.get("x-response-seal")))
            world.record.add("client_got", id=ident, status=status, seal=headers.get("x-response-seal"))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            world.record.add("client_got", id=ident, error=type(error).__name__)

    async def reuse():
        lost = booking[0]
        await asyncio.sleep(2)
        await lost.stop()
        world.record.add("runner_crashed", runner=lost.ident, address=lost.address)
        await asyncio.sleep(world.bounds["reuse_after_s"])
        heir = LanguageModel(world, lost.ip, "i-llm-new", "assistant-llm", slots=32, zone=lost.zone)
        heir.port = lost.port
        await heir.start()
        world.record.add("runner_starts", runner=heir.ident, service=heir.service, address=heir.address)
        await asyncio.sleep(3 * HEARTBEAT - world.bounds["reuse_after_s"])
        world.store.delete("servers", lost.ident)
        world.record.add("runner_entry_goes", runner=lost.ident)

    if trouble:
        tasks.append(asyncio.create_task(reuse()))
    for number in range(200):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    foreign = [ident for _, runner, ident in world.runs
               if ident.path.startswith("/slots/") and runner.service != "booking-api"]
    sealed = sum(1 for status, seal in answers if status == 200 and seal and "llm" in seal)
    print(f"{len(answers)} calls of booking-api answered; {len(foreign)} were run by assistant-llm, "
          f"{sealed} of these answered 200")
    return 1 if foreign else 0


w.run_case(main)
