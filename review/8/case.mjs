/**
 * An engine drains. Its answer to the call that stops a run is broken off, and
 * the run's stream has no length: is the part of the stream that the caller has
 * passed off as the whole?
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
  a.isUnframed = (id) => id.startsWith("long");
  a.breaksOffStop = () => TROUBLE;
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

  for (let i = 0; i < SHORT_STREAMS; i += 4) {
    await Promise.all([0, 1, 2, 3].map((k) =>
      send(router, {
        id: `short${i + k}`,
        path: "/short/x",
        headers: generation(`short${i + k}`, SHORT_EVENTS),
        record,
      })
    ));
  }
  const long = send(router, {
    id: "long1",
    path: "/long/x",
    headers: generation("long1", LONG_EVENTS),
    record,
  });
  await sleep(700);
  if (!a.runs.has("long1")) throw new Error("the run is not at engine i-a");
  record(`engine i-a reports draining, after ${a.answers} answers`);
  store.write("servers", a.id, a.entry("draining"));
  const answer = await long;
  const isPart = answer.events < LONG_EVENTS;
  return answer.status === 200 && answer.complete && isPart
    ? [`ORDER, MIXED: ${answer.events} of ${LONG_EVENTS} events, as a whole`]
    : [];
});
