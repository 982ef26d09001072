/** Fetches prefill results from other engines. */
import { type EngineDecodeRequest, EngineStatus } from "@sassafrascleat/engine";
import {
  childAbortController,
  deadlineSignal,
  sleep,
} from "@sassafrascleat/runtime";
import { Agent, request } from "undici";
import { KvPath } from "./constants.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import type { SharedLink } from "./shared_link.ts";

/** Imports prefill results over the importing engine's incoming link. */
export class KvClient {
  readonly #cfg: ResolvedEngineServerOptions;
  readonly #link: SharedLink;
  readonly #agent = new Agent();

  constructor(cfg: ResolvedEngineServerOptions, link: SharedLink) {
    this.#cfg = cfg;
    this.#link = link;
  }

  /** Fetches the result given by `req.kv` within `req.transferTimeoutMs`. */
  async fetch(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Promise<EngineStatus> {
    const stop = childAbortController(
      deadlineSignal(req.transferTimeoutMs, signal),
    );
    const { availabilityZone, engineAddress, handle, tokens } = req.kv;
    await sleep(this.#cfg.zoneLatencyMs[availabilityZone] ?? 0, stop.signal);
    const exported = this.#export(engineAddress, handle, stop.signal);
    const imported = this.#link.transfer(tokens, stop.signal);
    const status = await exported;
    if (status !== 200) stop.abort();
    const transferred = await imported;
    stop.abort();
    if (status === 410) return EngineStatus.Expired;
    const ok = status === 200 && transferred;
    return ok ? EngineStatus.Ok : EngineStatus.TransferFailed;
  }

  /** Tells the exporting engine that a decode with the result has started. */
  async reportUsed(req: EngineDecodeRequest): Promise<void> {
    const { engineAddress, handle } = req.kv;
    await this.#post(engineAddress + KvPath.Used, { handle });
  }

  async #export(
    address: string,
    handle: string,
    signal: AbortSignal,
  ): Promise<number> {
    return await this.#post(address + KvPath.Export, { handle }, signal);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Returns the HTTP status, or 0 if the call failed without a response. */
  async #post(
    url: string,
    body: unknown,
    signal: AbortSignal = deadlineSignal(1_000),
  ): Promise<number> {
    try {
      const res = await request(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal,
        dispatcher: this.#agent,
      });
      await res.body.dump();
      return res.statusCode;
    } catch {
      return 0;
    }
  }
}
