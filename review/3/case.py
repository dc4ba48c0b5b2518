"""One daemon is killed; half a second later the first runners of a new software version start. The
clients of the killed daemon take their streams up at the other daemons, whose runners of the old
version all serve on."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

STREAMS = 15
PIECES = 25      # the largest answer of hours-faq
DEADLINE = 3.0   # of hours-faq
PARTS = [("X-Model", "m"), ("X-Token-Counts", f"383,{PIECES}")]


def routes():
    return [{"name": "r-faq", "host": "a.example", "path_prefix": "/faq/", "kind": "streaming", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 0, "service": "assistant-llm", "max_attempts": 2, "sticky": True,
             "resumable": True, "target_gap_ms": 150}]


def services():
    return [{"name": "assistant-llm", "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": False,
             "engine": {"slots": 32, "kv_tokens": 442678, "token_kv_bytes": 163840, "link_mbps": 1400000.0,
                        "migrations": True, "kv_backups": True, "stride": 7, "most": 12, "kv_hold_s": 5.0,
                        "stage_switch_s": 1.1, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}}]


async def attempt(world, node, ident, number, left, more=()):
    headers = [*PARTS, ("X-Prefix-Hash", f"5c1e07a2:92,{number + 16:x}:291"),
               ("X-Deadline-Ms", str(int(left * 1000))), *more]
    world.record.add("client_sends", id=ident, node=node.name, **{k.replace("-", "_"): v for k, v in more})
    got = await w.stream(node.front, "/faq/2f", headers, ident)
    world.record.add("client_got", id=ident, status=got.status, events=len(got.events), complete=got.complete,
                     seal=got.headers.get("x-response-seal"), error=got.error)
    return got


async def client(world, number, taken_up):
    began = w.now()
    one = await attempt(world, world.nodes[0], f"first-{number:02d}", number, DEADLINE)
    if not one.events or one.complete:
        return
    await asyncio.sleep(1.0)
    node = world.nodes[1 + number % 3]
    two = await attempt(world, node, f"second-{number:02d}", number, began + DEADLINE - w.now(),
                        [("Last-Event-Id", str(one.events[-1][0])), ("Resumes", one.ident)])
    taken_up.append(bool(two.events))


async def newcomer(world, number, new):
    got = await attempt(world, world.nodes[1 + number % 3], f"new-{number:02d}", number + 100, DEADLINE)
    new.append(bool(got.events))


async def main(world, trouble):
    await world.store.start()
    old = [w.Engine(world, f"127.0.2.{i + 1}", f"i-old{i}", "assistant-llm", "v1", slots=32, zone=world.zones[i])
           for i in range(3)]
    new_ones = [w.Engine(world, f"127.0.2.{i + 11}", f"i-new{i}", "assistant-llm", "v2", slots=32,
                         zone=world.zones[i]) for i in range(2)]
    for runner in old:
        await runner.start()
    world.configure(7, routes(), services())
    if not await world.start_nodes():
        print("the nodes did not become ready")
        return 2
    await asyncio.sleep(4)  # contact_ms is 3,000
    taken_up, new = [], []
    clients = [asyncio.create_task(client(world, n, taken_up)) for n in range(STREAMS)]
    await asyncio.sleep(0.4)
    if trouble:
        world.nodes[0].kill()
    await asyncio.sleep(0.5)
    for runner in new_ones:
        await runner.start()
        world.record.add("runner_starts", runner=runner.ident, version=runner.version)
    await asyncio.sleep(0.5)
    newcomers = [asyncio.create_task(newcomer(world, n, new)) for n in range(STREAMS)]
    await asyncio.gather(*clients, *newcomers)
    print(f"taken up {len(taken_up)}, of these went on {sum(taken_up)}; new {len(new)}, of these began {sum(new)}")
    if not trouble:
        return 0 if not taken_up and sum(new) == len(new) else 1
    if len(taken_up) < 12 or not new or not sum(new):
        return 2
    return 1 if sum(taken_up) / len(taken_up) < 0.5 * sum(new) / len(new) else 0


w.run_case(main)
