/** The platform's store, as far as a router uses it. */
import { listenAsPeer, responseBytes } from "./http_peer.mjs";

const PREFIX = "/v1/objects/";
const JSON_TYPE = { "Content-Type": "application/json" };

export class Store {
  #objects = new Map();
  #events = [];
  #revision = 10;
  #waiting = new Set();

  async start() {
    this.#server = await listenAsPeer((req, connection) =>
      this.#serve(req, connection)
    );
    this.address = this.#server.address;
  }

  #server;

  close() {
    this.#server.close();
  }

  /** Writes an object, as its owner does. */
  write(kind, name, spec) {
    const key = `${kind}/${name}`;
    this.#revision += 1;
    const before = this.#objects.get(key);
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        createdRev: before?.metadata.createdRev ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: {},
    };
    this.#objects.set(key, object);
    this.#note(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const object = this.#objects.get(key);
    if (!object) return;
    this.#objects.delete(key);
    this.#revision += 1;
    this.#note(kind, object, true);
  }

  #note(kind, object, removed) {
    this.#events.push({ revision: this.#revision, kind, object, removed });
    for (const wake of [...this.#waiting]) wake();
  }

  async #serve(req, { socket }) {
    const url = new URL(req.url, "http://store");
    const [status, body] = await this.#answer(req, url);
    socket.write(responseBytes(status, JSON_TYPE, JSON.stringify(body)));
  }

  async #answer({ method, body }, { pathname, searchParams }) {
    if (!pathname.startsWith(PREFIX)) return [404, {}];
    const [kind, name] = pathname.slice(PREFIX.length).split("/");
    const sent = body ? JSON.parse(body) : undefined;
    if (method === "GET" && searchParams.has("watch")) {
      return [200, await this.#watch(kind, searchParams)];
    }
    if (method === "GET" && name === undefined) return [200, this.#list(kind)];
    const key = `${kind}/${name ?? sent?.metadata?.name}`;
    const known = this.#objects.get(key);
    if (method === "GET") return known ? [200, known] : [404, {}];
    if (method === "POST") {
      if (known) return [409, known];
      return [200, this.write(kind, sent.metadata.name, sent.spec)];
    }
    if (!known) return [404, {}];
    const expected = sent?.metadata?.revision ?? searchParams.get("revision");
    if (expected && Number(expected) !== known.metadata.revision) {
      return [409, known];
    }
    if (method === "DELETE") {
      this.remove(kind, name);
      return [200, known];
    }
    if (JSON.stringify(sent.spec) === JSON.stringify(known.spec)) {
      return [200, known];
    }
    return [200, this.write(kind, name, sent.spec)];
  }

  #list(kind) {
    const items = [...this.#objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return { items, hasMore: false, currentRev: this.#revision };
  }

  async #watch(kind, query) {
    const since = Number(query.get("watch"));
    const endMs = performance.now() + Number(query.get("waitMs") ?? 0);
    for (;;) {
      const events = this.#events
        .filter((it) => it.kind === kind && it.revision > since)
        .map(({ object, removed }) => ({ object, removed }));
      const leftMs = endMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return { events, currentRev: this.#revision };
      }
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }
}
