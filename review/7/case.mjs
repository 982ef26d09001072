/**
 * An engine that drains sends one answer a second time, where the next answer on
 * that connection is expected. Two of its runs are moved meanwhile: does one of
 * them go on from the memory of the other?
 */
import { fileURLToPath } from "node:url";
import {
  configuration,
  engineService,
  generation,
  Router,
  runCase,
  send,
  streamRoute,
  TROUBLE,
} from "../stand_ins_2/deployment.mjs";
import { Engine, sleep } from "../stand_ins_2/engine.mjs";
import { Store } from "../stand_ins_2/store.mjs";

const RECORD = fileURLToPath(new URL("record.txt", import.meta.url));
const SERVICE = "summarizer";
const SHORT_STREAMS = 120;
const SHORT_EVENTS = 5;
const LONG_EVENTS = 300;
/** Time that the copies of the two runs take. */
const FIRST_COPY_MS = 100;
const SECOND_COPY_MS = 250;

await runCase(RECORD, async (record, onEnd) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.close());
  const fleet = new Map();
  const engines = [
    { id: "i-p", zone: "z1", stage: "prefill" },
    { id: "i-a", zone: "z1", stage: "decode" },
    { id: "i-b", zone: "z2", stage: "decode" },
    { id: "i-c", zone: "z2", stage: "decode" },
  ].map((it) => new Engine({ ...it, service: SERVICE, fleet, record }));
  const [, a] = engines;
  a.answersTwice = (id) => TROUBLE && id === "last";
  // Copies wait for each other, in any order.
  let slow;
  a.beforeCopyAnswer = async (req, run) => {
    slow ??= req.afterExtra ? run.id : undefined;
    await sleep(run.id === slow ? SECOND_COPY_MS : FIRST_COPY_MS);
  };
  for (const engine of engines) {
    await engine.start();
    onEnd(() => engine.close());
    store.write("servers", engine.id, engine.entry());
  }
  store.write(
    "config",
    "main",
    configuration(
      [streamRoute("short", SERVICE), streamRoute("long", SERVICE)],
      [engineService(SERVICE)],
    ),
  );
  const router = new Router({ name: "front-1", zone: "z1", store, record });
  onEnd(() => router.close());
  await router.start();

  const stream = (id, path, events) =>
    send(router, { id, path, headers: generation(id, events), record });
  for (let i = 0; i < SHORT_STREAMS; i += 4) {
    await Promise.all(
      [0, 1, 2, 3].map((k) =>
        stream(`short${i + k}`, "/short/x", SHORT_EVENTS)
      ),
    );
  }
  const longs = [];
  for (const id of ["long1", "long2"]) {
    longs.push(stream(id, "/long/x", LONG_EVENTS));
    await sleep(50);
  }
  await sleep(600);
  await stream("last", "/short/x", SHORT_EVENTS);
  if (a.runs.size !== 2) throw new Error("the runs are not at engine i-a");
  record(`engine i-a reports draining, after ${a.answers} answers`);
  store.write("servers", a.id, a.entry("draining"));
  const broken = [];
  for (const { id, body } of await Promise.all(longs)) {
    const texts = new Set(body.match(/text of \w+/g));
    for (const text of texts) {
      if (text !== `text of ${id}`) {
        broken.push(`MIXED: the client of ${id} has got ${text}`);
      }
    }
  }
  for (const id of engines.flatMap((it) => it.foreign ?? [])) {
    broken.push(`MIXED: ${id} goes on from the handle of another request`);
  }
  return broken;
});
