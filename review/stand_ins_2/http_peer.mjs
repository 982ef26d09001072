/**
 * A small HTTP/1.1 server on a plain socket. It serves one request at a time on
 * each connection, and lets its owner write any bytes as a response.
 */
import { createServer } from "node:net";

const HEAD_END = "\r\n\r\n";

/** One connection of a caller, and the requests that arrive on it. */
class PeerConnection {
  #bytes = Buffer.alloc(0);
  #busy = false;

  constructor(socket, handle) {
    this.socket = socket;
    /** Bytes that are sent where the next response is expected. */
    this.extraBytes = undefined;
    this.handle = handle;
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      this.#bytes = Buffer.concat([this.#bytes, bytes]);
      this.#next();
    });
  }

  async #next() {
    if (this.#busy) return;
    const req = this.#take();
    if (!req) return;
    this.#busy = true;
    if (this.extraBytes) {
      this.socket.write(this.extraBytes);
      this.extraBytes = undefined;
      req.afterExtra = true;
    }
    await this.handle(req, this);
    this.#busy = false;
    if (!this.socket.destroyed) this.#next();
  }

  /** Takes one whole request, if it has arrived. */
  #take() {
    // Empty lines before a request are ignored.
    while (this.#bytes[0] === 0x0d || this.#bytes[0] === 0x0a) {
      this.#bytes = this.#bytes.subarray(1);
    }
    const headEnd = this.#bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const lines = this.#bytes.toString("latin1", 0, headEnd).split("\r\n");
    const [method, url] = lines[0].split(" ");
    const headers = {};
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(":");
      const name = line.slice(0, colon).toLowerCase();
      headers[name] = line.slice(colon + 1).trim();
    }
    const bodyStart = headEnd + HEAD_END.length;
    const bodyEnd = bodyStart + Number(headers["content-length"] ?? 0);
    if (this.#bytes.length < bodyEnd) return undefined;
    const body = this.#bytes.toString("latin1", bodyStart, bodyEnd);
    this.#bytes = this.#bytes.subarray(bodyEnd);
    return { method, url, headers, body };
  }
}

/** Listens on a free port of the loopback address. */
export function listenAsPeer(handle, port = 0) {
  const sockets = new Set();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
    new PeerConnection(socket, handle);
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () =>
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close() {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      }));
  });
}

/** The bytes of a response with a length. */
export function responseBytes(status, headers, body = "") {
  const lines = [`HTTP/1.1 ${status} Status`];
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) lines.push(`${name}: ${value}`);
  }
  lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return `${lines.join("\r\n")}${HEAD_END}${body}`;
}

/** The head of a response whose end its connection or its chunks show. */
export function openHead(status, headers) {
  const lines = [`HTTP/1.1 ${status} Status`];
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) lines.push(`${name}: ${value}`);
  }
  return `${lines.join("\r\n")}${HEAD_END}`;
}

export function chunk(text) {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
