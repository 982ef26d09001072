/**
 * A small deployment around the project's router: its settings, rendered from
 * the template of the deploy file, and its process, started with the command
 * of the deploy file.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../../", import.meta.url));
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Milliseconds since the script started, for the record. */
export const now = () => Math.round(performance.now());

/** The bounds of the site file, as the settings give them. */
const FIELDS = {
  bounds: {
    stableWindowMs: 3000,
    graceS: 8,
    leaseMs: 3000,
    retryBudgetRatio: 0.2,
    retrySlack: 58,
    budgetWindowS: 10,
  },
  bootstrap: true,
  heartbeatMs: 1200,
};

/** Lines for `record.txt`. */
export class Record {
  #lines = [];

  note(text) {
    this.#lines.push(`${String(now()).padStart(6)} ms  ${text}`);
  }

  write(scriptUrl) {
    const path = join(dirname(fileURLToPath(scriptUrl)), "record.txt");
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}

export async function freePort() {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address();
  server.close();
  await once(server, "close");
  return port;
}

/** A field of the settings, as the template names it. */
function lookUp(fields, path) {
  return path.split(".").reduce((value, key) => value?.[key], fields);
}

function render(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = lookUp(fields, path);
    return json ? JSON.stringify(value) : String(value);
  });
}

/** The words of `run` in the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function settingsTemplate() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const path = /^template = "(.*)"$/m.exec(text)[1];
  return readFileSync(join(ROOT, path), "utf8");
}

/** One router process. */
export class Router {
  #child;
  #directory = mkdtempSync(join(tmpdir(), "review-"));
  #fields;
  #readyPort = 0;
  port = 0;
  exits = [];

  constructor(name, zone, storeAddress, changes = {}) {
    this.name = name;
    this.#fields = {
      ...FIELDS,
      nodeName: name,
      zone,
      ip: "127.0.0.1",
      platform: { address: storeAddress },
      ...changes,
    };
  }

  get pid() {
    return this.#child.pid;
  }

  get logPath() {
    return join(this.#directory, "log.txt");
  }

  get log() {
    return readFileSync(this.logPath, "utf8");
  }

  async start() {
    const [front, ready, metrics] = [
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    this.port = front;
    this.#readyPort = ready;
    const fields = {
      ...this.#fields,
      listen: {
        front: `127.0.0.1:${front}`,
        readyAddress: `127.0.0.1:${ready}`,
      },
    };
    // Several routers share this machine: each gets a metrics port of its own.
    const text = render(settingsTemplate(), fields).replace(
      "127.0.0.1:9464",
      `127.0.0.1:${metrics}`,
    );
    const path = join(this.#directory, "settings.json");
    writeFileSync(path, text);
    const [program, ...args] = runCommand();
    const log = openSync(this.logPath, "a");
    this.#child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, SASSAFRASCLEAT_SETTINGS: path },
      stdio: ["ignore", log, log],
    });
    closeSync(log);
    this.#child.once("exit", (code, signal) => this.exits.push(signal ?? code));
    await this.#untilReady(ready);
  }

  async #untilReady(port) {
    for (let i = 0; i < 150; i += 1) {
      try {
        const res = await fetch(`http://127.0.0.1:${port}/v1/ready`);
        if (res.status === 200) return;
      } catch (_err) {
        // It does not listen yet.
      }
      await sleep(100);
    }
    throw new Error(`${this.name} is not ready: ${this.log}`);
  }

  /** Asks as the platform does whether the router is ready. */
  async probe(timeoutMs) {
    const sentMs = now();
    const url = `http://127.0.0.1:${this.#readyPort}/v1/ready`;
    const signal = AbortSignal.timeout(timeoutMs);
    const ok = await fetch(url, { signal })
      .then((res) => res.status === 200, () => false);
    return { sentMs, ok };
  }

  kill(signal) {
    this.#child.kill(signal);
  }

  async close() {
    if (this.#child && this.exits.length === 0) {
      this.#child.kill("SIGCONT");
      this.#child.kill("SIGKILL");
      await once(this.#child, "exit");
    }
    rmSync(this.#directory, { recursive: true, force: true });
  }
}

/** Runs a case and exits with its result: 1 broken, 0 held, 2 not run. */
export async function runCase(scriptUrl, body) {
  const record = new Record();
  const trouble = process.env.TROUBLE !== "0";
  const closers = [];
  let status = 2;
  record.note(`trouble: ${trouble ? "yes" : "no"}`);
  try {
    const broken = await body({
      record,
      trouble,
      onClose: (close) => closers.push(close),
    });
    status = broken ? 1 : 0;
  } catch (err) {
    record.note(`the case could not run: ${err.stack}`);
    console.error(err);
  }
  for (const close of closers.reverse()) {
    await Promise.resolve().then(close).catch(() => {});
  }
  const results = ["the rule held", "the rule was broken", "could not run"];
  record.note(`result: ${results[status]}`);
  console.log(results[status]);
  record.write(scriptUrl);
  process.exit(status);
}
