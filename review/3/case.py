"""One part of prompts crashes each runner that begins to write an answer on it. The part is the first
one; the part behind it is the same in all prompts, sound ones too."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import world as w  # noqa: E402

BAD = "badbad01"
SECONDS = 30


def routes():
    return [{"name": "r-faq", "host": "a.example", "path_prefix": "/faq/", "kind": "streaming", "timeout_ms": 3000,
             "target_latency_ms": 300, "priority": 0, "service": "assistant-llm", "max_attempts": 2, "sticky": True,
             "resumable": True, "target_gap_ms": 150},
            {"name": "r-review", "host": "a.example", "path_prefix": "/review/", "kind": "streaming",
             "timeout_ms": 6000, "target_latency_ms": 600, "priority": 1, "service": "assistant-llm",
             "max_attempts": 1, "sticky": True, "resumable": False, "target_gap_ms": 150}]


def services():
    return [{"name": "assistant-llm", "health_path": "/healthz", "max_conns": 250, "protocol": "h1", "tls": False,
             "engine": {"slots": 32, "kv_tokens": 442678, "token_kv_bytes": 163840, "link_mbps": 1400000.0,
                        "migrations": True, "kv_backups": True, "stride": 7, "most": 12, "kv_hold_s": 5.0,
                        "stage_switch_s": 1.1, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}}]


class CrashingEngine(w.Engine):
    async def run(self, request, writer):
        if BAD not in request.header("X-Prefix-Hash") or request.header("X-Stage"):
            return await super().run(request, writer)
        self.ran(request, crashes=1)
        asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(self.crash()))
        await asyncio.sleep(10)

    async def crash(self):
        """The runner ends, and is back after three seconds, as a new incarnation with a new id."""
        old, self.life = self.ident, getattr(self, "life", 0) + 1
        self.world.record.add("runner_crashed", runner=old)
        await self.stop()
        await asyncio.sleep(3)
        self.ident = f"{old.split('-life')[0]}-life{self.life}"
        await self.start()
        await asyncio.sleep(0.6)  # three heartbeats after the crash
        self.world.store.delete("servers", old)


async def main(world, trouble):
    await world.store.start()
    runners = [CrashingEngine(world, f"127.0.2.{i + 1}", f"i-{i:02d}", "assistant-llm", "v1", slots=32,
                              zone=world.zones[i % 3]) for i in range(18)]
    for runner in runners:
        await runner.start()
    world.configure(7, routes(), services())
    if not await world.start_nodes():
        print("the nodes did not become ready")
        return 2
    await asyncio.sleep(4)
    tasks, whole = [], {"poison": [], "faq": [], "review": []}

    async def send(kind, number, target, parts, counts, deadline):
        ident = f"{kind}-{number:03d}"
        got = await w.stream(world.nodes[number % 4].front, target,
                             [("X-Model", "m"), ("X-Token-Counts", counts), ("X-Prefix-Hash", parts),
                              ("X-Deadline-Ms", deadline)], ident)
        world.record.add("client_got", id=ident, status=got.status, events=len(got.events), complete=got.complete)
        whole[kind].append(got.complete)

    began = w.now()
    number = 0
    while w.now() - began < SECONDS:
        number += 1
        last = f"{number + 4096:x}:291"
        tasks.append(asyncio.create_task(send("faq", number, "/faq/2f", f"a0a0a0a0:55,b0b0b0b0:37,{last}", "383,6",
                                              "3000")))
        if number % 2 == 0:
            tasks.append(asyncio.create_task(send("review", number, "/review/2f", f"{number % 38 + 256:x}:1000,{last}",
                                                  "1291,30", "6000")))
        if trouble and number % 10 == 0:
            tasks.append(asyncio.create_task(send("poison", number, "/faq/2f", f"{BAD}:55,b0b0b0b0:37,{last}", "383,6",
                                                  "3000")))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    crashes = [at for at, _, request in world.runs if BAD in request.header("X-Prefix-Hash")]
    late = [at for at in crashes if len(crashes) > 4 and at > crashes[4] + world.bounds["contact_ms"] / 1000]
    print(f"{len(crashes)} crashes; {len(late)} requests with the part reached runners later than 3 s after the "
          f"fifth; sound streams whole: faq {sum(whole['faq'])} of {len(whole['faq'])}, "
          f"review {sum(whole['review'])} of {len(whole['review'])}")
    return 1 if len(late) > 3 else 0


w.run_case(main)
