/** A TCP proxy in process that brings about the failures of connections. */
import {
  createConnection,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { sleep } from "@sassafrascleat/runtime";

/** What the proxy does with connections and bytes. */
export enum ProxyMode {
  Pass = "pass",
  /** Bytes arrive late, in both directions. */
  Delay = "delay",
  /** Bytes wait until the mode changes. */
  Stall = "stall",
  /** New connections are reset at once. */
  Reset = "reset",
  /** Requests go through, answers are swallowed. */
  HalfOpen = "half_open",
  /** New connections are accepted and closed before any byte. */
  Refuse = "refuse",
}

/** Options of `createFaultProxy`. */
export interface FaultProxyOptions {
  /** @default "127.0.0.1" */
  targetHost?: string;
  targetPort: number;
  /**
   * Port on 127.0.0.1; 0 takes a free one.
   * @default 0
   */
  port?: number;
}

/** What went through the proxy. */
export interface ProxyCounts {
  connections: number;
  open: number;
  refused: number;
  bytesToTarget: number;
  bytesFromTarget: number;
  swallowed: number;
}

/** A running proxy. */
export interface FaultProxy {
  readonly address: string;
  readonly port: number;
  readonly counts: ProxyCounts;
  setMode(mode: ProxyMode, delayMs?: number): void;
  /** Open connections swallow everything from now on; new ones work. */
  silence(): void;
  /** Resets every open connection. */
  resetAll(): void;
  close(): Promise<void>;
}

/** Starts a proxy before `targetHost:targetPort`. */
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

/** One connection through the proxy: both sockets. */
class Link {
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
    swallowed: 0,
  };
  readonly #host: string;
  readonly #targetPort: number;
  readonly #server: Server;
  readonly #links = new Set<Link>();
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

  silence(): void {
    for (const link of this.#links) link.silent = true;
  }

  resetAll(): void {
    for (const link of [...this.#links]) link.reset();
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
    this.#connect(client);
  }

  #connect(client: Socket): void {
    const target = createConnection({
      host: this.#host,
      port: this.#targetPort,
      noDelay: true,
    });
    client.setNoDelay(true);
    target.on("error", () => client.resetAndDestroy());
    const link = new Link(client, target);
    this.#links.add(link);
    this.counts.open = this.#links.size;
    void this.#pump(link, client, target, true);
    void this.#pump(link, target, client, false);
    client.on("close", () => this.#forget(link));
    target.on("close", () => {
      if (!link.silent) client.end();
    });
  }

  #forget(link: Link): void {
    this.#links.delete(link);
    this.counts.open = this.#links.size;
    if (!link.silent) link.target.destroy();
    // A silent link's target learns nothing, as behind a lost NAT entry.
  }

  async #pump(link: Link, from: Socket, to: Socket, up: boolean) {
    try {
      for await (const chunk of from) {
        await this.#hold();
        if (this.#swallows(link, up)) {
          this.counts.swallowed += chunk.length;
          continue;
        }
        if (up) this.counts.bytesToTarget += chunk.length;
        else this.counts.bytesFromTarget += chunk.length;
        if (!to.write(chunk)) await drained(to);
      }
    } catch {
      // The other direction's close event tears the link down.
    }
  }

  #swallows(link: Link, up: boolean): boolean {
    return link.silent || (!up && this.#mode === ProxyMode.HalfOpen);
  }

  async #hold(): Promise<void> {
    if (this.#mode === ProxyMode.Delay) await sleep(this.#delayMs);
    while (this.#mode === ProxyMode.Stall) {
      await sleep(60_000, this.#modeChange.signal);
    }
  }
}

function drained(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    if (socket.destroyed) return resolve();
    socket.once("drain", resolve);
    socket.once("close", resolve);
  });
}
