"""A late write of a worker's older entry makes entries send orders to it after it has reported that it is leaving."""

import asyncio
import collections
import os
import pathlib
import shutil
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
from standins import Entry, Store, Worker, ask, configuration, plain_service, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.50.%d." % (os.getpid() % 250)
MEMORY_MB, DESCRIPTORS, DEADLINE_MS, WORK_S = 260, 4200, 3000, 0.06
CONTACT_S, DRAIN_S, BEAT_S = 3.0, 2.0, 1.2
# The store does a write that it does not answer 1 to 6 s later. The worker leaves when the store is stable again, and
# serves for drain_ms and a little longer.
LATE_S, LEAVES_AFTER_S, SERVES_S = 5.7, 3.2, 3.2
REQUESTERS, PAUSE_S = 22, 0.01


class LeavingWorker(Worker):
    """Writes every BEAT_S; one of its writes is done late by the store."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.state = "ready"
        self.begin = None
        self.late = None
        self.acknowledged = None
        self.log = []

    def entry(self):
        return {**super().entry(), "state": self.state}

    async def write(self, entry, note):
        await self.store.put("servers/" + self.id, entry)
        self.log.append((time.monotonic(), note, entry["state"], entry["sequence"]))

    async def beat(self):
        self.sequence += 1
        if self.begin is not None and self.late is None and TROUBLE:
            # The store does not answer this write, and does it LATE_S later.
            self.late = asyncio.get_running_loop().call_later(LATE_S, self.write_late, self.entry())
            self.log.append((time.monotonic(), "sent, not answered", self.state, self.sequence))
            return
        await self.write(self.entry(), "written")

    def write_late(self, entry):
        self.task_late = asyncio.create_task(self.write(entry, "done late by the store"))

    async def leave(self):
        self.task.cancel()
        self.state = "draining"
        self.sequence += 1
        await self.write(self.entry(), "written")
        self.acknowledged = time.monotonic()
        self.task = asyncio.create_task(self.beats())


async def main():
    store = await Store(NET + "200").start()
    tenants = [{"name": "shop-1", "api_keys": ["k1"], "priority": 1}]
    routes = [route("box-renew", "/un/", "unsafe", "shop-api", DEADLINE_MS, 1)]
    await store.put("op/config", configuration(7, routes, [plain_service("shop-api")], tenants))
    runs, leaving_runs, answers = [], [], []
    for index in range(3):
        await Worker(store, "shop-api", NET + str(110 + index), runs, work=WORK_S).start()
    leaving = await LeavingWorker(store, "shop-api", NET + "120", leaving_runs, work=WORK_S).start()
    entries = [Entry(NET + str(1 + index), store.address, [NET + "1", NET + "2"], 23000, MEMORY_MB, DESCRIPTORS) for index in range(2)]
    stop = asyncio.Event()
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            if not await entry.ready():
                return 2, ["an entry did not get ready"]
        await asyncio.sleep(CONTACT_S + 0.5)

        async def requester(entry):
            connection = None
            while not stop.is_set():
                request, status, connection = await ask(entry, "/un/box", b"box1", DEADLINE_MS, connection)
                answers.append((request, status))
                await asyncio.sleep(PAUSE_S)

        tasks = [asyncio.create_task(requester(entries[index % 2])) for index in range(REQUESTERS)]
        await asyncio.sleep(2)
        # The next beat is the one whose write is late.
        beats = len(leaving.log)
        leaving.begin = time.monotonic()
        while len(leaving.log) == beats:
            await asyncio.sleep(0.01)
        begin = leaving.log[-1][0]
        await asyncio.sleep(begin + LEAVES_AFTER_S - time.monotonic())
        await leaving.leave()
        ended = leaving.acknowledged + SERVES_S
        await asyncio.sleep(ended - time.monotonic())
        leaving.stop()
        await store.remove("servers/" + leaving.id)
        await asyncio.sleep(1)
        stop.set()
        await asyncio.gather(*tasks)
        late = [run for run in leaving_runs if run["arrived"] > leaving.acknowledged + DRAIN_S]
        status = dict(answers)
        lost = [run["id"] for run in leaving_runs if not run.get("answered") and status.get(run["id"]) != "200"]
        record = ["orders: %d, answers %s" % (len(answers), dict(collections.Counter(value for _, value in answers))),
                  "run by the worker that leaves: %d, by the others: %d" % (len(leaving_runs), len(runs))]
        for at, note, state, sequence in leaving.log:
            if at >= begin - 0.1:
                record.append("%+6.2f s  entry of the worker %s: state %s, sequence %d" % (at - begin, note, state, sequence))
        record.append("%+6.2f s  the store has acknowledged that the worker is draining" % (leaving.acknowledged - begin))
        record.append("%+6.2f s  drain_ms is over" % (leaving.acknowledged + DRAIN_S - begin))
        record.append("%+6.2f s  the worker exits" % (ended - begin))
        record += ["%+6.2f s  order %s reaches it, %.2f s after the acknowledgement" % (
            run["arrived"] - begin, run["id"], run["arrived"] - leaving.acknowledged) for run in late[:20]]
        record.append("orders that reach it later than drain_ms: %d; run there and not answered: %d" % (len(late), len(lost)))
        return (1 if late else 0), record
    finally:
        for entry in entries:
            await entry.end()
            shutil.rmtree(entry.folder, ignore_errors=True)


if __name__ == "__main__":
    code, lines = asyncio.run(main())
    text = "\n".join(["TROUBLE=%d" % TROUBLE] + lines + ["exit %d" % code]) + "\n"
    (FOLDER / "record.txt").write_text(text, encoding="utf-8")
    print(text, end="", flush=True)
    os._exit(code)
