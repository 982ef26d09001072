/**
 * An engine is emptied to be taken away, falls silent for a little over a second
 * at that moment, and then rejects the moves of its runs, because the engines
 * that they were to go to are full. The router must not end these streams: the
 * engine still has their memory and still serves.
 */
import {
  eventIds,
  keptConnection,
  newId,
  promptHeaders,
  send,
  sendAsOtherRouter,
} from "../stand_ins/client.mjs";
import { configSpec } from "../stand_ins/config.mjs";
import { now, Router, runCase, sleep } from "../stand_ins/deployment.mjs";
import { Engine } from "../stand_ins/engines.mjs";
import { Store } from "../stand_ins/store.mjs";

const EVENTS = 80;
const GAP_MS = 60;
/** 12 tokens an event. */
const MAX_TOKENS = 12 * EVENTS;
const STREAMS = 20;
const SILENT_MS = 1_200;
/** Requests of other routers: with the router's own, these engines are full. */
const OTHERS = 24;

await runCase(import.meta.url, async ({ record, trouble, onClose }) => {
  const store = new Store();
  const address = await store.start();
  onClose(() => store.close());
  store.put("config", "main", configSpec());
  const events = [];
  const engines = [];
  for (let i = 0; i < 6; i += 1) {
    const engine = new Engine(store, {
      id: `i-${i}`,
      stage: i < 2 ? "prefill" : "decode",
      events: EVENTS,
      gapMs: GAP_MS,
      framing: "framed",
    });
    engine.listeners.push((message) =>
      events.push({ ...message, engine: engine.id, atMs: now() })
    );
    await engine.start();
    onClose(() => engine.close());
    engines.push(engine);
  }
  const router = new Router("front-1", "hobart-a", address);
  onClose(() => router.close());
  await router.start();
  await sleep(3_500);

  const clients = Array.from({ length: STREAMS }, () => keptConnection());
  for (const agent of clients) {
    // Makes the connection a kept one; there is no such route.
    await send(router.port, {
      path: "/none/",
      method: "GET",
      deadlineMs: 1_000,
      agent,
    });
  }
  if (trouble) {
    router.kill("SIGHUP");
    record.note("the router gets SIGHUP");
  }
  const calls = clients.map((agent) => {
    const id = newId();
    return send(router.port, {
      path: `/brief/${id}`,
      id,
      body: "x".repeat(3_000),
      headers: promptHeaders(id, MAX_TOKENS),
      deadlineMs: 14_000,
      agent,
    });
  });
  await sleep(300);
  for (const engine of engines.slice(3)) {
    for (let i = 0; i < OTHERS; i += 1) sendAsOtherRouter(engine);
  }
  await sleep(700);
  const leaving = engines[2];
  leaving.standStill(SILENT_MS);
  record.note(`${leaving.id} falls silent for ${SILENT_MS} ms`);
  if (trouble) {
    // The last that it had sent before.
    leaving.list({ state: "draining", sequence: 2 });
    record.note(`${leaving.id} is draining, which the store has acknowledged`);
  }
  const results = await Promise.all(calls);
  for (const agent of clients) agent.destroy();

  let lost = 0;
  for (const { id, status, complete, text, endMs, kept, error } of results) {
    const own = events.filter((item) => item.requestId === id);
    const runs = own.filter((item) => item.kind === "run");
    const stopped = own.find((item) => item.kind === "stopped");
    const isWhole = status === 200 && complete &&
      eventIds(text).length === EVENTS;
    if (!isWhole) lost += 1;
    record.note(
      `${id} (${kept ? "kept" : "new"} connection): status ${status}, ` +
        `${eventIds(text).length} of ${EVENTS} events, ` +
        `${
          complete ? "complete" : `broken off at ${endMs} ms ${error ?? ""}`
        }; ran ` +
        runs.map(({ engine, atMs }) => `at ${engine} from ${atMs} ms`).join(
          ", ",
        ) +
        (stopped
          ? `, stopped there by its move after event ${stopped.event} at ` +
            `${stopped.atMs} ms`
          : ""),
    );
  }
  for (const line of router.log.split("\n")) {
    if (line.includes("event=run_moved")) {
      record.note(`router: ${line.slice(line.indexOf("event="))}`);
    }
  }
  record.note(`streams that ended without a complete answer: ${lost}`);
  if (!trouble && lost > 0) throw new Error("streams failed by day");
  return lost > 3;
});
