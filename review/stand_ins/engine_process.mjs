/**
 * A stand-in for one engine, as a process of its own. Its options come as JSON
 * in the first argument; it tells its parent what it receives and sends.
 *
 *   id      its id
 *   stage   "prefill", "decode", or absent for a plain service
 *   events  number of events of each stream
 *   gapMs   time between two events
 *   framing "length-less": an answer ends with its connection
 *           "framed": chunks for streams, a length for other answers
 *   pauseMs plain answers: time between the two halves of the body
 *   slots, queue, maxConnections  how much it takes: a request beyond the slots
 *           waits, one beyond the queue is turned away, and while the queue is
 *           full no connection beyond the open ones is taken
 *   preempt { event, forMs }: after this event a stream is put back, and goes on
 *           once it has been read again
 *   drops   false: it works on when the connection of a request has closed
 *
 * A run that is to be moved is stopped, and its memory goes to the other engine if
 * that has a slot free. If not, the move is rejected, and its handle can be used
 * once, here.
 *
 * Told to "garble", it spoils the answer to its next plain request.
 */
import { createServer } from "node:http";

const options = JSON.parse(process.argv[2]);
const { id, stage, events = 24, gapMs = 100, framing, pauseMs = 0 } = options;
const { slots = 24, queue = 2, maxConnections = 210 } = options;
const { preempt, drops = true } = options;
const lengthless = framing === "length-less";
let holds = 0;
let handles = 0;
let garbleNext = false;
/** Runs that generate, by request id. */
const active = new Map();
/** Runs that were stopped, by handle. */
const stopped = new Map();
let running = 0;
const waiting = [];
const held = new Map();
let connections = 0;
let resets = 0;

/** Takes a slot, or waits for one. */
async function takeSlot(holdId) {
  held.delete(holdId);
  if (running >= slots) await new Promise((resume) => waiting.push(resume));
  running += 1;
  if (waiting.length > 0) tell({ kind: "queue", length: waiting.length });
}

function freeSlot() {
  running -= 1;
  waiting.shift()?.();
}

function isFull() {
  return running >= slots && waiting.length >= queue;
}

const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const tell = (message) => process.send?.(message);

function json(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(text),
    "X-Instance-Id": id,
  });
  res.end(text);
}

function notRun(res, status, requestId) {
  res.writeHead(status, {
    "Content-Length": 0,
    "X-Instance-Id": id,
    ...(requestId ? { "X-Request-Id": requestId } : {}),
    ...(status === 421 ? {} : { "X-Not-Executed": "1" }),
  });
  res.end();
}

function control(path, method, body, res) {
  if (path === "/v1/hold-take") {
    if (running + held.size >= slots) return json(res, 503, {});
    holds += 1;
    const hold = `${id}-h${holds}`;
    held.set(hold, true);
    setTimeout(() => held.delete(hold), JSON.parse(body).ttlMs).unref();
    return json(res, 200, { hold });
  }
  if (path === "/v1/report") {
    return json(res, 200, {
      stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: false,
      sequence: 1,
      waiting: 0,
      running: 0,
      kvUsed: 0,
      kvTotal: 42606,
      kvHandles: 0,
    });
  }
  if (path === "/v1/kv-move") return void move(JSON.parse(body), res);
  if (path === "/v1/order") {
    tell({ kind: "order", body: JSON.parse(body) });
    return json(res, 200, {});
  }
  if (path.startsWith("/v1/hold-drop/")) {
    held.delete(path.slice("/v1/hold-drop/".length));
  }
  if (method === "DELETE") return json(res, 200, {});
  return json(res, 404, {});
}

/** Asks the other engine to take the memory of a run. */
async function copyTo(target, kvHandle, requestId) {
  const body = JSON.stringify({ kvHandle, requestId });
  const res = await fetch(`http://${target}/stand-in/copy`, {
    method: "POST",
    body,
  }).catch(() => undefined);
  return res?.status === 200;
}

/** Takes the memory of a run at another engine, if there is room. */
function takeCopy({ kvHandle, requestId }, res) {
  if (running + held.size >= slots) return json(res, 503, {});
  held.set(kvHandle, true);
  stopped.set(kvHandle, requestId);
  return json(res, 200, {});
}

async function move({ id: requestId, target }, res) {
  const run = active.get(requestId);
  if (!run) return json(res, 404, {});
  run.stop();
  handles += 1;
  const kvHandle = `${id}-m${handles}`;
  tell({ kind: "stopped", requestId, event: run.event });
  const copied = await copyTo(target, kvHandle, requestId);
  if (!copied) stopped.set(kvHandle, requestId);
  return json(res, copied ? 200 : 503, { kvHandle, createdRev: run.event });
}

/** Whether a request goes on from a run that was stopped here. */
function isUsable(source, requestId) {
  const handle = source.slice(source.indexOf("/") + 1);
  if (!handle.includes("-m")) return true;
  const known = stopped.get(handle) === requestId;
  stopped.delete(handle);
  held.delete(handle);
  return known;
}

/** Begins an answer that its connection ends. */
function beginLengthless(res, headers) {
  res.removeHeader("Transfer-Encoding");
  res.writeHead(200, { ...headers, Connection: "close" });
}

async function stream(req, res, requestId, headers) {
  const type = { ...headers, "Content-Type": "text/event-stream" };
  if (lengthless) beginLengthless(res, type);
  else res.writeHead(200, type);
  res.flushHeaders();
  const from = Number(req.headers["last-event-id"] ?? 0);
  const run = { event: from, isStopped: false };
  run.stop = () => {
    run.isStopped = true;
    active.delete(requestId);
    res.destroy();
  };
  active.set(requestId, run);
  for (let event = from + 1; event <= events; event += 1) {
    if (run.isStopped || (res.destroyed && drops)) return;
    if (!res.destroyed) {
      res.write(`id: ${event}\ndata: ${id} writes ${event} of ${events}\n\n`);
    }
    run.event = event;
    tell({ kind: "event", requestId, event, open: !res.destroyed });
    await sleep(gapMs);
    const putBack = preempt?.event === event &&
      requestId.startsWith(preempt.requests);
    if (!putBack) continue;
    tell({ kind: "preempted", requestId });
    await sleep(preempt.forMs);
  }
  if (run.isStopped) return;
  active.delete(requestId);
  res.end();
  tell({ kind: "end", requestId });
}

/** Sends a sound answer with one bit of its status wrong: 000 for 200. */
function sendGarbled(res, requestId, headers, body) {
  garbleNext = false;
  tell({ kind: "garbled", requestId });
  const lines = Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  res.socket.write(
    `HTTP/1.1 000 OK\r\n${lines}Content-Length: ${body.length}\r\n\r\n${body}`,
  );
}

async function plain(res, requestId, headers) {
  const half = "x".repeat(400);
  const body = `${half}${half}`;
  if (garbleNext) return sendGarbled(res, requestId, headers, body);
  if (lengthless) beginLengthless(res, headers);
  else res.writeHead(200, { ...headers, "Content-Length": body.length });
  res.write(half);
  tell({ kind: "half", requestId });
  await sleep(pauseMs);
  res.end(half);
  tell({ kind: "end", requestId });
}

async function serve(req, res) {
  const chunks = [];
  try {
    for await (const chunk of req) chunks.push(chunk);
  } catch (_err) {
    return;
  }
  const path = req.url.split("?")[0];
  const requestId = req.headers["x-request-id"];
  const expected = req.headers["x-expect-instance"];
  if (expected !== undefined && expected !== id) {
    return notRun(res, 421, requestId);
  }
  if (path === "/stand-in/copy") {
    return takeCopy(JSON.parse(Buffer.concat(chunks).toString()), res);
  }
  if (path.startsWith("/v1/")) {
    return control(path, req.method, Buffer.concat(chunks).toString(), res);
  }
  const wantsPrefill = req.headers["x-stage"] === "prefill";
  if (stage && wantsPrefill !== (stage === "prefill")) {
    return notRun(res, 421, requestId);
  }
  const headers = {
    "X-Request-Id": requestId,
    "X-Server-Seal": `seal-${id}`,
    "X-Instance-Id": id,
  };
  if (wantsPrefill) {
    handles += 1;
    const body = { kvHandle: `${id}-k${handles}`, tokens: 1, version: 1 };
    const text = JSON.stringify(body);
    res.writeHead(200, {
      "X-Request-Id": requestId,
      "X-Instance-Id": id,
      "Content-Type": "application/json",
      "Content-Length": text.length,
    });
    return res.end(text);
  }
  const source = req.headers["x-kv-source"];
  if (isFull() || (source && !isUsable(source, requestId))) {
    return notRun(res, 503, requestId);
  }
  await takeSlot(req.headers["x-kv-hold"]);
  tell({ kind: "run", requestId, method: req.method, url: req.url });
  if (stage) await stream(req, res, requestId, headers);
  else await plain(res, requestId, headers);
  freeSlot();
}

const server = createServer((req, res) => void serve(req, res));
server.keepAliveTimeout = 20_000;
server.on("connection", (socket) => {
  if (isFull() || connections >= maxConnections) {
    resets += 1;
    tell({ kind: "reset", resets, connections });
    return void socket.resetAndDestroy();
  }
  connections += 1;
  socket.once("close", () => connections -= 1);
});
server.listen(
  0,
  "127.0.0.1",
  () => tell({ kind: "ready", address: `127.0.0.1:${server.address().port}` }),
);
process.on("message", (message) => garbleNext = message === "garble");
process.on("disconnect", () => process.exit(0));
