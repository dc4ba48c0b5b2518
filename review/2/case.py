"""All processes of the system are killed while a release has just taken the last runner of the old
software version out of the store. Clients take their streams up again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

CLIENTS = 12
PIECES = 25      # the largest answer of hours-faq
DEADLINE = 3.0   # of hours-faq


def routes():
    return [{"name": "r-faq", "host": "a.example", "path_prefix": "/faq/", "kind": "streaming", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 0, "service": "assistant-llm", "max_attempts": 2, "sticky": True,
             "resumable": True, "target_gap_ms": 150}]


def services():
    return [{"name": "assistant-llm", "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": False,
             "engine": {"slots": 32, "kv_tokens": 442678, "token_kv_bytes": 163840, "link_mbps": 1400000.0,
                        "migrations": True, "kv_backups": True, "stride": 7, "most": 12, "kv_hold_s": 5.0,
                        "stage_switch_s": 1.1, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}}]


async def client(world, number, results):
    """One retry, a second after the stream was broken, at another node (PROTOCOL.md, Answers)."""
    began = w.now()
    parts = [("X-Model", "m"), ("X-Token-Counts", f"383,{PIECES}"),
             ("X-Prefix-Hash", f"5c1e07a2:92,{number + 16:x}:291")]
    ident = f"first-{number:02d}"
    node = world.nodes[number % len(world.nodes)]
    world.record.add("client_sends", id=ident, node=node.name)
    one = await w.stream(node.front, "/faq/2f", [*parts, ("X-Deadline-Ms", "3000")], ident)
    world.record.add("client_got", id=ident, status=one.status, events=len(one.events), complete=one.complete,
                     seal=one.headers.get("x-response-seal"), error=one.error)
    tries = [one]
    if one.events and not one.complete:
        await asyncio.sleep(1.0)
        left = began + DEADLINE - w.now()
        node = world.nodes[(number + 1) % len(world.nodes)]
        ident = f"second-{number:02d}"
        world.record.add("client_sends", id=ident, node=node.name, last_event_id=one.events[-1][0],
                         resumes=one.ident, left_ms=int(left * 1000))
        two = await w.stream(node.front, "/faq/2f",
                             [*parts, ("X-Deadline-Ms", str(int(left * 1000))),
                              ("Last-Event-Id", str(one.events[-1][0])), ("Resumes", one.ident)], ident)
        world.record.add("client_got", id=ident, status=two.status, events=len(two.events), complete=two.complete,
                         seal=two.headers.get("x-response-seal"), error=two.error)
        tries.append(two)
    results.append([data for attempt in tries for _, data in attempt.events])


async def main(world, trouble):
    await world.store.start()
    old = [w.Engine(world, f"127.0.2.{i + 1}", f"i-old{i}", "assistant-llm", "v1", slots=32, zone=world.zones[i])
           for i in range(3)]
    new = [w.Engine(world, f"127.0.2.{i + 11}", f"i-new{i}", "assistant-llm", "v2", slots=32, zone=world.zones[i])
           for i in range(3)]
    for runner in old:
        await runner.start()
    world.configure(7, routes(), services())
    if not await world.start_nodes():
        print("the nodes did not become ready")
        return 2
    await asyncio.sleep(3)
    results = []
    clients = [asyncio.create_task(client(world, n, results)) for n in range(CLIENTS)]
    await asyncio.sleep(0.2)
    # The release: the new runners start first; the old ones never say that they drain. Their entries
    # go, and they serve on.
    for runner in new:
        await runner.start()
        world.record.add("runner_starts", runner=runner.ident, version=runner.version)
    await asyncio.sleep(0.2)
    for runner in old:
        world.store.delete("servers", runner.ident)
        world.record.add("runner_entry_goes", runner=runner.ident, version=runner.version)
    await asyncio.sleep(0.2)
    if trouble:
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(0.5)
        for node in world.nodes:
            node.start()
    await asyncio.gather(*clients)
    mixed = 0
    for events in results:
        versions = {event.split(" ")[0] for event in events}
        mixed += len(versions) > 1
    print(f"{len(results)} streams, {mixed} hold events of two software versions")
    if any(not events for events in results):
        print("some clients got no event at all")
        return 2 if mixed <= 2 else 1
    return 1 if mixed > 2 else 0


w.run_case(main)
