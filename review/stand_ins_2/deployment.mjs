/**
 * Starts routers as the deploy file says, with settings from its template, and
 * sends requests to them.
 */
import { spawn } from "node:child_process";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, get, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "./engine.mjs";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const READY_TIMEOUT_MS = 15_000;

/** Whether the disruption of a case takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";

/** Collects what was sent, answered and run, and writes it to a file. */
export class Recorder {
  #lines = [];
  #startMs = performance.now();

  record = (text) => {
    const ms = Math.round(performance.now() - this.#startMs);
    this.#lines.push(`${String(ms).padStart(6)} ms  ${text}`);
  };

  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

async function freePorts(count) {
  const servers = [];
  for (let i = 0; i < count; i += 1) {
    const server = createServer();
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(0, "127.0.0.1", resolve);
    });
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/** The fields that the platform fills into a template. */
function fieldsOf({ name, zone, storeAddress, ports, contracts }) {
  const [callers, readiness] = ports;
  return {
    nodeName: name,
    zone,
    ip: "127.0.0.1",
    listen: {
      front: `127.0.0.1:${callers}`,
      readyAddress: `127.0.0.1:${readiness}`,
    },
    platform: { address: storeAddress },
    bootstrap: true,
    heartbeatMs: 1200,
    internalPortRange: ports.slice(2).join(","),
    contracts: contracts.join(","),
    limits: { memoryMb: 200, maxFileDescriptors: 4100 },
    bounds: {
      stableWindowMs: 3000,
      graceS: 8,
      leaseMs: 3000,
      retryBudgetRatio: 0.2,
      retrySlack: 52,
      budgetWindowS: 10,
    },
  };
}

const CONTRACTS = [
  "base",
  "drain",
  "config",
  "cost",
  "retry",
  "recover",
  "split",
  "stream",
  "engine",
  "platform",
];

function render(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = path.split(".").reduce((it, key) => it?.[key], fields);
    if (value === undefined) return "";
    return json ? JSON.stringify(value) : String(value);
  });
}

/** One router process. */
export class Router {
  #child;
  #directory = mkdtempSync(join(tmpdir(), "review-"));

  constructor({ name, zone, store, record }) {
    Object.assign(this, { name, zone, store, record });
  }

  /** Starts the program of the deploy file and waits until it is ready. */
  async start() {
    const ports = await freePorts(4);
    const { name, zone } = this;
    const fields = fieldsOf({
      name,
      zone,
      storeAddress: this.store.address,
      ports,
      contracts: CONTRACTS,
    });
    this.port = ports[0];
    this.readyPort = ports[1];
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const [, templatePath] = /^template = "(.*)"$/m.exec(deploy);
    const template = readFileSync(join(ROOT, templatePath), "utf8");
    const path = join(this.#directory, "settings.json");
    writeFileSync(path, render(template, fields));
    this.logPath = join(this.#directory, "router.log");
    const log = openSync(this.logPath, "a");
    const [command, ...args] = run.split(" ");
    this.#child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, SASSAFRASCLEAT_SETTINGS: path },
      stdio: ["ignore", log, log],
    });
    this.record(`router ${name} starts: ${run}`);
    await this.#untilReady();
  }

  async #untilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      if (await this.isReady()) return;
      await sleep(100);
    }
    throw new Error(`the router is not ready: ${this.logPath}`);
  }

  isReady() {
    return new Promise((resolve) => {
      const url = `http://127.0.0.1:${this.readyPort}/v1/ready`;
      const req = get(url, { agent: false, timeout: 500 }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.once("timeout", () => req.destroy());
      req.once("error", () => resolve(false));
    });
  }

  signal(name) {
    this.record(`router ${this.name} gets ${name}`);
    this.#child.kill(name);
  }

  get hasExited() {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  get log() {
    return readFileSync(this.logPath, "utf8");
  }

  async close() {
    if (!this.#child) return;
    const exited = this.hasExited ||
      new Promise((resolve) => this.#child.once("exit", resolve));
    this.#child.kill("SIGKILL");
    await exited;
    if (!process.env.KEEP) {
      rmSync(this.#directory, { recursive: true, force: true });
    }
  }
}

const agent = new Agent({ keepAlive: true });

/** Sends one request; resolves with what the client can see of the answer. */
export function send(router, { id, path, headers = {}, body, record }) {
  record(`client sends ${id} to router ${router.name}: POST ${path}`);
  return new Promise((resolve) => {
    const answer = { id, status: 0, headers: {}, body: "", complete: false };
    const settle = () => {
      const { status, complete } = answer;
      const events = (answer.body.match(/^id: /gm) ?? []).length;
      answer.events = events;
      record(
        `client of ${id} has got ${status}, ${answer.body.length} bytes, ` +
          `${events} events, ${complete ? "complete" : "not complete"}`,
      );
      resolve(answer);
    };
    const req = request({
      agent,
      host: "127.0.0.1",
      port: router.port,
      method: "POST",
      path,
      headers: { Host: "app.example", "X-Request-Id": id, ...headers },
    }, (res) => {
      answer.status = res.statusCode;
      answer.headers = res.headers;
      res.setEncoding("latin1");
      res.on("data", (text) => answer.body += text);
      res.once("close", () => {
        answer.complete = res.complete;
        settle();
      });
      res.on("error", () => {});
    });
    req.once("error", () => answer.status === 0 && settle());
    req.end(body);
  });
}

/** Headers of a request for a generation of `events` events. */
export function generation(id, events, extra = {}) {
  return {
    "X-Model": "m",
    "X-Token-Counts": `1000,${events}`,
    "X-Prompt-Prefix": `5c1e07a2:200,${Buffer.from(id).toString("hex")}:800`,
    "X-Length-Hint": String(events),
    "X-Request-Deadline-Ms": "14000",
    ...extra,
  };
}

/** A configuration with a route for short streams and one for long ones. */
export function configuration(routes, services) {
  return {
    version: 1,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15000,
    },
  };
}

export function streamRoute(name, service) {
  return {
    name,
    host: "app.example",
    pathPrefix: `/${name}/`,
    kind: "streaming",
    service,
    timeoutMs: 14000,
    targetLatencyMs: 900,
    gapAimMs: 300,
    priority: 1,
    maxAttempts: 1,
    resumable: false,
    stickySessions: true,
  };
}

export function engineService(name) {
  return {
    name,
    maxConnections: 290,
    healthCheckPath: "/health",
    engine: {
      slots: 24,
      kvCacheTokens: 42121,
      kvBytes: 18432,
      kvHandleS: 5,
      stageSwitchS: 6,
      pinMs: 4000,
      holdMs: 2000,
      stride: 1,
    },
  };
}

/** Runs a case: exits with 0, 1 or 2 and leaves its record. */
export async function runCase(recordPath, play) {
  const recorder = new Recorder();
  const closers = [];
  let status = 2;
  const guard = setTimeout(() => {
    recorder.record("the case takes too long");
    finish(2);
  }, 110_000);
  async function finish(code) {
    clearTimeout(guard);
    recorder.write(recordPath);
    for (const close of closers.reverse()) await close();
    process.exit(code);
  }
  try {
    recorder.record(TROUBLE ? "with the disruption" : "without the disruption");
    const broken = await play(recorder.record, (close) => closers.push(close));
    for (const line of broken) recorder.record(`BROKEN ${line}`);
    if (broken.length === 0) recorder.record("the rule held");
    status = broken.length > 0 ? 1 : 0;
  } catch (err) {
    recorder.record(`the case could not run: ${err.stack}`);
  }
  await finish(status);
}
