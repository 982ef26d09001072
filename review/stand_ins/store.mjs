/**
 * A sound stand-in for the platform's store: objects by kind and name, one
 * revision counter, conditional writes, lists and long polls.
 */
import { createServer } from "node:http";

export class Store {
  #items = new Map();
  #changes = [];
  #revision = 1;
  #waiting = new Set();
  #server = createServer((req, res) => void this.#serve(req, res));
  /** Every call: time, method, path and status. */
  calls = [];

  async start() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an object as its owner does. */
  put(kind, name, spec) {
    this.#revision += 1;
    const item = { kind, name, revision: this.#revision, spec };
    this.#items.set(`${kind}/${name}`, item);
    this.#changed({ revision: this.#revision, removed: false, item });
    return item;
  }

  remove(kind, name) {
    const item = this.#items.get(`${kind}/${name}`);
    if (!item) return;
    this.#items.delete(`${kind}/${name}`);
    this.#revision += 1;
    this.#changed({ revision: this.#revision, removed: true, item });
  }

  get(kind, name) {
    return this.#items.get(`${kind}/${name}`)?.spec;
  }

  names(kind) {
    return this.#of(kind).map((item) => item.name);
  }

  #of(kind) {
    return [...this.#items.values()]
      .filter((item) => item.kind === kind)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  #changed(change) {
    this.#changes.push(change);
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(req, res) {
    const url = new URL(req.url, "http://store");
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch (_err) {
      return;
    }
    const [, , , kind = "", name = ""] = url.pathname.split("/");
    const { status, body } = req.method === "GET"
      ? await this.#read(url, kind, name)
      : this.#write(req.method, kind, name, chunks, url);
    this.calls.push({
      atMs: Math.round(performance.now()),
      method: req.method,
      path: req.url,
      status,
    });
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    res.end(JSON.stringify(body));
  }

  async #read(url, kind, name) {
    if (name) {
      const item = this.#items.get(`${kind}/${name}`);
      return item
        ? { status: 200, body: objectOf(item) }
        : { status: 404, body: {} };
    }
    const watch = url.searchParams.get("watch");
    if (watch === null) {
      return {
        status: 200,
        body: {
          items: this.#of(kind).map(objectOf),
          hasMore: false,
          currentRev: this.#revision,
        },
      };
    }
    const since = Number(watch);
    await this.#untilChange(
      kind,
      since,
      Number(url.searchParams.get("waitMs")),
    );
    const events = this.#changes
      .filter((it) => it.item.kind === kind && it.revision > since)
      .map(({ removed, item }) => ({ removed, object: objectOf(item) }));
    return { status: 200, body: { events, currentRev: this.#revision } };
  }

  #untilChange(kind, since, waitMs) {
    const has = () =>
      this.#changes.some((it) => it.item.kind === kind && it.revision > since);
    if (has()) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const wake = () => has() && done();
      const timer = setTimeout(done, waitMs);
      this.#waiting.add(wake);
    });
  }

  #write(method, kind, pathName, chunks, url) {
    const text = Buffer.concat(chunks).toString();
    const body = text ? JSON.parse(text) : {};
    const name = pathName || body.metadata?.name;
    const item = this.#items.get(`${kind}/${name}`);
    if (method === "POST" && item) return { status: 409, body: objectOf(item) };
    if (method !== "POST" && !item) return { status: 404, body: {} };
    const asked = body.metadata?.revision ?? url.searchParams.get("revision");
    if (item && asked && Number(asked) !== item.revision) {
      return { status: 409, body: objectOf(item) };
    }
    if (method === "DELETE") {
      this.remove(kind, name);
      return { status: 200, body: {} };
    }
    return { status: 200, body: objectOf(this.put(kind, name, body.spec)) };
  }
}

function objectOf({ name, revision, spec }) {
  return {
    metadata: {
      name,
      revision,
      createdRev: revision,
      finalizers: [],
      deleting: false,
    },
    spec,
    status: null,
  };
}
