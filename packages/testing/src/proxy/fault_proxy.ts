/** An in-process TCP proxy that injects connection failures. */
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { sleep } from "@sassafrascleat/runtime";

/** How the proxy treats connections and the bytes on them. */
export enum ProxyMode {
  Pass = "pass",
  /** Bytes are delayed in both directions. */
  Delay = "delay",
  /** Bytes are held back until the mode changes. */
  Stall = "stall",
  /** New connections are reset immediately. */
  Reset = "reset",
  /** Bytes to the target are forwarded, bytes from the target are discarded. */
  HalfOpen = "half_open",
  /** New connections are accepted, then closed before any byte is sent. */
  Refuse = "refuse",
}

/** Options of `createFaultProxy`. */
export interface FaultProxyOptions {
  /** @default "127.0.0.1" */
  targetHost?: string;
  targetPort: number;
  /**
   * Port on 127.0.0.1; 0 selects a free port.
   * @default 0
   */
  port?: number;
}

/** Counts of connections and bytes. */
export interface ProxyCounts {
  connections: number;
  open: number;
  refused: number;
  bytesToTarget: number;
  bytesFromTarget: number;
  bytesDiscarded: number;
}

/** A running proxy. */
export interface FaultProxy {
  readonly address: string;
  readonly port: number;
  readonly counts: ProxyCounts;
  setMode(mode: ProxyMode, delayMs?: number): void;
  /**
   * Discards all further bytes on the open connections, in both directions, and
   * doesn't report their closing to the other side. New connections work.
   */
  blackholeOpenConnections(): void;
  /** Resets every open connection. */
  resetAll(): void;
  close(): Promise<void>;
}

/** Starts a proxy in front of `targetHost:targetPort`. */
export async function createFaultProxy(
  raw: FaultProxyOptions,
): Promise<FaultProxy> {
  const proxy = new TcpFaultProxy(
    raw.targetHost ?? "127.0.0.1",
    raw.targetPort,
  );
  await proxy.listen(raw.port ?? 0);
  return proxy;
}

/** A client connection and the corresponding connection to the target. */
class ProxiedConnection {
  readonly client: Socket;
  readonly target: Socket;
  silent = false;

  constructor(client: Socket, target: Socket) {
    this.client = client;
    this.target = target;
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.target.destroy();
  }
}

class TcpFaultProxy implements FaultProxy {
  readonly counts: ProxyCounts = {
    connections: 0,
    open: 0,
    refused: 0,
    bytesToTarget: 0,
    bytesFromTarget: 0,
    bytesDiscarded: 0,
  };
  readonly #host: string;
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #connections = new Set<ProxiedConnection>();
  #mode = ProxyMode.Pass;
  #delayMs = 0;
  #modeChange = new AbortController();

  constructor(host: string, targetPort: number) {
    this.#host = host;
    this.#targetPort = targetPort;
    this.#server = createServer((client) => this.#accept(client));
  }

  get port(): number {
    return (this.#server.address() as { port: number }).port;
  }

  get address(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  listen(port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
  }

  setMode(mode: ProxyMode, delayMs = 0): void {
    this.#mode = mode;
    this.#delayMs = delayMs;
    this.#modeChange.abort();
    this.#modeChange = new AbortController();
  }

  blackholeOpenConnections(): void {
    for (const connection of this.#connections) connection.silent = true;
  }

  resetAll(): void {
    for (const connection of [...this.#connections]) connection.reset();
  }

  close(): Promise<void> {
    this.setMode(ProxyMode.Reset);
    this.resetAll();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #accept(client: Socket): void {
    client.on("error", () => {});
    if (this.#mode === ProxyMode.Reset || this.#mode === ProxyMode.Refuse) {
      this.counts.refused++;
      if (this.#mode === ProxyMode.Reset) client.resetAndDestroy();
      else client.destroy();
      return;
    }
    this.counts.connections++;
    this.#connectToTarget(client);
  }

  #connectToTarget(client: Socket): void {
    const target = createConnection({
      host: this.#host,
      port: this.#targetPort,
      noDelay: true,
    });
    client.setNoDelay(true);
    target.on("error", () => client.resetAndDestroy());
    const connection = new ProxiedConnection(client, target);
    this.#connections.add(connection);
    this.counts.open = this.#connections.size;
    void this.#forward(connection, client, target, true);
    void this.#forward(connection, target, client, false);
    client.on("close", () => this.#removeConnection(connection));
    target.on("close", () => {
      if (!connection.silent) client.end();
    });
  }

  #removeConnection(connection: ProxiedConnection): void {
    this.#connections.delete(connection);
    this.counts.open = this.#connections.size;
    if (!connection.silent) connection.target.destroy();
    // The target of a silent connection isn't told, as after a lost NAT entry.
  }

  async #forward(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
    toTarget: boolean,
  ) {
    try {
      for await (const chunk of from) {
        await this.#waitForMode();
        if (this.#discards(connection, toTarget)) {
          this.counts.bytesDiscarded += chunk.length;
          continue;
        }
        if (toTarget) this.counts.bytesToTarget += chunk.length;
        else this.counts.bytesFromTarget += chunk.length;
        if (!to.write(chunk)) await waitForDrain(to);
      }
    } catch {
      // The sockets' close events clean up the connection.
    }
  }

  #discards(connection: ProxiedConnection, toTarget: boolean): boolean {
    return connection.silent ||
      (!toTarget && this.#mode === ProxyMode.HalfOpen);
  }

  async #waitForMode(): Promise<void> {
    if (this.#mode === ProxyMode.Delay) await sleep(this.#delayMs);
    while (this.#mode === ProxyMode.Stall) {
      await sleep(60_000, this.#modeChange.signal);
    }
  }
}

function waitForDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.destroyed) return resolve();
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}
