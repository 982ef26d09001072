/**
 * One server of the plain service sends one answer that is none. The router must
 * still answer its other clients within their routes' timeout.
 */
import { newId, send } from "../stand_ins/client.mjs";
import { configSpec } from "../stand_ins/config.mjs";
import { now, Router, runCase, sleep } from "../stand_ins/deployment.mjs";
import { Engine } from "../stand_ins/engines.mjs";
import { Store } from "../stand_ins/store.mjs";

const SERVERS = 3;
/** The server that first has had so many requests spoils one answer. */
const REQUESTS_BEFORE = 40;
const INTERVAL_MS = 50;
const SECONDS = 15;
const TIMEOUT_MS = 400;
const DEADLINE_MS = 1_000;
/** What the rule allows after the timeout. */
const ALLOWED_MS = 500;

await runCase(import.meta.url, async ({ record, trouble, onClose }) => {
  const store = new Store();
  const address = await store.start();
  onClose(() => store.close());
  const config = configSpec({ plainTimeoutMs: TIMEOUT_MS });
  store.put("config", "main", config);
  let chosen;
  let garbledMs;
  for (let i = 0; i < SERVERS; i += 1) {
    const engine = new Engine(store, {
      id: `i-${i}`,
      framing: "framed",
      pauseMs: 15,
      slots: 6,
      queue: 24,
    });
    let runs = 0;
    engine.listeners.push(({ kind, requestId }) => {
      if (kind === "run") runs += 1;
      if (trouble && !chosen && runs === REQUESTS_BEFORE) {
        chosen = engine;
        engine.garble();
      }
      if (kind !== "garbled") return;
      garbledMs = now();
      record.note(`${engine.id} spoils its answer to ${requestId}`);
    });
    await engine.start();
    onClose(() => engine.close());
  }
  const router = new Router("front-1", "hobart-a", address);
  onClose(() => router.close());
  await router.start();
  await sleep(3_500);

  const probes = [];
  const calls = [];
  const endMs = now() + SECONDS * 1_000;
  for (let count = 0; now() < endMs; count += 1) {
    const id = newId();
    const safe = count % 7 >= 5;
    calls.push(send(router.port, {
      path: `${safe ? "/stock/" : "/order/"}${id}`,
      method: safe ? "GET" : "POST",
      id,
      body: safe ? "" : "x".repeat(600),
      deadlineMs: DEADLINE_MS,
    }));
    if (count % 20 === 0) probes.push(router.probe(1_000));
    await sleep(INTERVAL_MS);
  }
  const results = await Promise.all(calls);
  const statuses = new Map();
  let unanswered = 0;
  let late = 0;
  for (const { id, path, sentMs, endMs, status, error } of results) {
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    const tookMs = endMs - sentMs;
    if (tookMs <= TIMEOUT_MS) continue;
    unanswered += 1;
    if (tookMs > TIMEOUT_MS + ALLOWED_MS) late += 1;
    record.note(
      `${path} sent at ${sentMs} ms (${
        garbledMs === undefined ? "" : `${sentMs - garbledMs} ms after it`
      }): ${status === 0 ? `no answer, ${error}` : `status ${status}`} after ` +
        `${tookMs} ms (${id})`,
    );
  }
  for (const { sentMs, ok } of await Promise.all(probes)) {
    if (!ok) record.note(`no answer to /v1/ready at ${sentMs} ms in 1 s`);
  }
  record.note(
    `${results.length} requests, by status: ` +
      [...statuses].map(([status, n]) => `${status}: ${n}`).join(", "),
  );
  record.note(
    `unanswered at the timeout of ${TIMEOUT_MS} ms: ${unanswered}; of these ` +
      `without an answer ${ALLOWED_MS} ms later: ${late}`,
  );
  if (trouble && garbledMs === undefined) throw new Error("nothing spoiled");
  if (!trouble && unanswered > 0) throw new Error("requests are slow by day");
  return late > unanswered / 2;
});
