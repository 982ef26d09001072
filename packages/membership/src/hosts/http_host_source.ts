/** Reads the platform's host list over HTTP. */
import {
  type BackendServer,
  backendServerSchema,
} from "@sassafrascleat/protocol";
import {
  childAbortController,
  createLogger,
  errorMessage,
} from "@sassafrascleat/runtime";
import { Agent, request } from "undici";
import { HOST_LIST_TIMEOUT_MS } from "../constants.ts";
import type { HostSource } from "./host_view.ts";

/** Options of the HTTP host list. */
export interface HttpHostSourceOptions {
  /** Base URL of the platform, `http://ip:port`. */
  baseUrl: string;
  /** Timeout of one read, in milliseconds. @default 2000 */
  timeoutMs?: number;
}

const log = createLogger("hosts");

/** Creates a source that reads `GET /hosts`. */
export function createHttpHostSource(
  options: HttpHostSourceOptions,
): HostSource {
  return new HttpHostSource(options);
}

class HttpHostSource implements HostSource {
  readonly #url: string;
  readonly #timeoutMs: number;
  #agent = new Agent({ connections: 1 });

  constructor(options: HttpHostSourceOptions) {
    this.#url = new URL("/hosts", options.baseUrl).href;
    this.#timeoutMs = options.timeoutMs ?? HOST_LIST_TIMEOUT_MS;
  }

  async list(signal: AbortSignal): Promise<BackendServer[] | undefined> {
    const timeoutController = childAbortController(signal);
    const timer = setTimeout(() => timeoutController.abort(), this.#timeoutMs);
    try {
      const res = await request(this.#url, {
        dispatcher: this.#agent,
        signal: timeoutController.signal,
      });
      if (res.statusCode === 200) return parseHosts(await res.body.json());
      await res.body.dump();
      log("list_refused", { status: res.statusCode });
    } catch (err) {
      if (!signal.aborted) log("list_failed", { error: errorMessage(err) });
      this.#reconnect();
    } finally {
      clearTimeout(timer);
      timeoutController.abort();
    }
    return undefined;
  }

  /** Discards a connection that may be unresponsive; the next read opens a new one. */
  #reconnect(): void {
    const old = this.#agent;
    this.#agent = new Agent({ connections: 1 });
    old.destroy().catch(() => {});
  }
}

/** Parses the host list and skips invalid entries. */
function parseHosts(body: unknown): BackendServer[] | undefined {
  const hosts = (body as { hosts?: unknown } | null)?.hosts;
  if (!Array.isArray(hosts)) return undefined;
  const servers: BackendServer[] = [];
  for (const host of hosts) {
    const parsed = backendServerSchema.safeParse(host);
    if (parsed.success) servers.push(parsed.data);
    else log("host_invalid", { issue: parsed.error.issues[0]?.message });
  }
  return servers;
}
