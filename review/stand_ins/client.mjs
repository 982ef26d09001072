/** A client: one connection for each request, and all that it receives. */
import { Agent, request } from "node:http";
import { HOST } from "./config.mjs";
import { now } from "./deployment.mjs";

let count = 0;

/** A new request id. */
export function newId() {
  count += 1;
  return `req${String(count).padStart(4, "0")}${process.pid}`;
}

/** A connection that is kept for several requests. */
export function keptConnection() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends one request; the result says whether the answer was complete. */
export function send(port, { path, method = "POST", id = newId(), ...more }) {
  const { body = "", headers = {}, deadlineMs, onData, agent = false } = more;
  const sentMs = now();
  return new Promise((resolve) => {
    const result = { id, path, sentMs, status: 0, text: "", complete: false };
    const finish = (error) => {
      if (error) result.error = error.code ?? error.message;
      result.endMs = now();
      resolve(result);
    };
    const req = request({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent,
      headers: {
        Host: HOST,
        "X-Request-Id": id,
        "X-Request-Deadline-Ms": deadlineMs,
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      },
    }, (res) => {
      result.status = res.statusCode;
      result.headers = res.headers;
      res.on("data", (chunk) => {
        result.text += chunk.toString("latin1");
        onData?.(result);
      });
      res.on("end", () => {
        result.complete = res.complete;
      });
      res.on("error", (err) => result.error = err.code);
      res.on("close", () => finish());
    });
    req.on("socket", () => result.kept = req.reusedSocket);
    req.on("error", finish);
    req.setTimeout(deadlineMs + 2_000, () => req.destroy());
    req.end(body);
  });
}

/** Headers of a generation. */
export function promptHeaders(id, maxTokens = 300) {
  return {
    "X-Model": "m",
    "X-Token-Counts": `3000,${maxTokens}`,
    "X-Length-Hint": String(maxTokens),
    "X-Prompt-Prefix": `5c1e07a2:200,${Buffer.from(id).toString("hex")}:2800`,
  };
}

/** Ids of the events in the text of a stream. */
export function eventIds(text) {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

/** A request that another router sends to the engine. */
export function sendAsOtherRouter(engine) {
  const id = `other${newId()}`;
  const [host, port] = engine.address.split(":");
  const req = request({
    host,
    port,
    method: "POST",
    path: `/guide/${id}`,
    agent: false,
    headers: {
      Host: HOST,
      "X-Request-Id": id,
      "X-Expect-Instance": engine.id,
      "X-Request-Deadline-Ms": 14_000,
      ...promptHeaders(id),
    },
  }, (res) => res.resume());
  req.on("error", () => {});
  req.end("x".repeat(3_000));
}
