/** An application server that answers each request once, as a whole. */
import { sleep } from "./engine.mjs";
import { listenAsPeer, responseBytes } from "./http_peer.mjs";

export class AppServer {
  runs = [];
  /** Time that a request takes. */
  workMs = 0;
  #server;

  constructor({ id, service, zone, bodyBytes, record }) {
    Object.assign(this, { id, service, zone, bodyBytes, record });
    this.born = Date.now();
  }

  async start() {
    this.#server = await listenAsPeer((req, connection) =>
      this.#serve(req, connection)
    );
    this.address = this.#server.address;
  }

  close() {
    this.#server.close();
  }

  entry(state = "ready") {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "1",
      slots: 6,
      state,
      coldRemainingMs: 0,
      sequence: 1,
      born: this.born,
    };
  }

  async #serve({ headers, url }, { socket }) {
    const id = headers["x-request-id"];
    const all = { "X-Request-Id": id, "X-Instance-Id": this.id };
    if (headers["x-expect-instance"] !== this.id) {
      return socket.write(responseBytes(421, all));
    }
    if (url === "/v1/report" || url === "/health") {
      return socket.write(responseBytes(200, all, `{"born":${this.born}}`));
    }
    this.runs.push(id);
    await sleep(this.workMs);
    const seal = `seal-${this.id}-${id}`;
    const body = "x".repeat(this.bodyBytes);
    this.record(`${this.id} runs ${id} and answers ${body.length} bytes`);
    socket.write(responseBytes(200, { ...all, "X-Server-Seal": seal }, body));
  }
}
