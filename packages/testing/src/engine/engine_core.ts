/** The simulated engine without its HTTP API. */
import {
  type EngineDecodeRequest,
  type EngineLoad,
  EngineStatus,
} from "@sassafrascleat/engine";
import {
  BackendRole,
  OrderKind,
  type OrderRequest,
} from "@sassafrascleat/protocol";
import { childAbortController } from "@sassafrascleat/runtime";
import {
  createEngineStats,
  type EngineStats,
  type EngineStatsSnapshot,
} from "./engine_stats.ts";
import { DecodeBatch, type DecodeJob } from "./decode_batch.ts";
import { KvClient } from "./kv_client.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import { contextTokens, piecesOf, PrefillQueue } from "./prefill_queue.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { SharedLink } from "./shared_link.ts";

/** Faults that can be turned on and off while the engine runs. */
export interface EngineFaults {
  /** Transfers over the KV links make no progress. */
  stallTransfers: boolean;
  /** All new prefills and decodes are refused. */
  refuse: boolean;
  /** The engine has crashed: its state is lost and connections are reset. */
  dead: boolean;
}

/** An import of a prefill result in progress, with its memory reserved. */
interface KvImport {
  pieces: number;
  stop: AbortController;
  outcome: Promise<DecodeJob | Exclude<EngineStatus, EngineStatus.Ok>>;
}

/** State and behaviour of one simulated engine. */
export class EngineCore {
  readonly cfg: ResolvedEngineServerOptions;
  readonly stats: EngineStats = createEngineStats();
  readonly prefillQueue: PrefillQueue;
  readonly batch: DecodeBatch;
  readonly prefixCache: PrefixCache;
  readonly outgoingLink: SharedLink;
  readonly faults: EngineFaults = {
    stallTransfers: false,
    refuse: false,
    dead: false,
  };
  role: BackendRole;
  readonly #incomingLink: SharedLink;
  readonly #kvClient: KvClient;
  readonly #imports = new Map<string, KvImport>();
  readonly #loadReports: { at: number; load: EngineLoad }[] = [];
  #highestFencingNumber = 0;

  constructor(cfg: ResolvedEngineServerOptions) {
    this.cfg = cfg;
    this.role = cfg.role;
    this.prefixCache = new PrefixCache(
      cfg.prefixCachePieces,
      cfg.cacheEventLagMs,
      cfg.cacheEventLoss,
      cfg.seed,
    );
    this.prefillQueue = new PrefillQueue(cfg, this.stats, this.prefixCache);
    this.batch = new DecodeBatch(cfg, this.stats);
    this.outgoingLink = new SharedLink(cfg.linkRate);
    this.#incomingLink = new SharedLink(cfg.linkRate);
    this.#kvClient = new KvClient(cfg, this.#incomingLink);
  }

  /**
   * Imports the prefill result and adds the request to the batch. A repeated
   * call with the same id joins the first.
   */
  decode(req: EngineDecodeRequest): KvImport["outcome"] {
    const known = this.batch.find(req.id);
    if (known) return Promise.resolve(known);
    const importing = this.#imports.get(req.id);
    if (importing) return importing.outcome;
    if (!this.#hasCapacity(req)) return Promise.resolve(EngineStatus.Refused);
    const stop = childAbortController();
    const pieces = piecesOf(contextTokens(req) + 1);
    const outcome = this.#importAndStart(req, stop.signal);
    this.#imports.set(req.id, { pieces, stop, outcome });
    return outcome;
  }

  cancel(id: string): void {
    this.#imports.get(id)?.stop.abort();
    this.batch.cancel(id);
    this.prefillQueue.cancel(id);
  }

  /**
   * Applies an order and returns whether it was accepted. An order with an
   * outdated fencing number is rejected unless `ignoreFencing` is set.
   */
  order(req: OrderRequest): boolean {
    const old = req.fencingNumber < this.#highestFencingNumber;
    if (old && !this.cfg.ignoreFencing) return false;
    this.#highestFencingNumber = Math.max(
      req.fencingNumber,
      this.#highestFencingNumber,
    );
    if (req.kind === OrderKind.ChangeRole) {
      const prefill = req.target === BackendRole.Prefill;
      this.role = prefill ? BackendRole.Prefill : BackendRole.Decode;
    }
    this.stats.orders.push(req);
    return true;
  }

  /**
   * Samples the load and returns the newest sample that is at least `loadLagMs`
   * old, or the oldest sample if there is none.
   */
  reportedLoad(): EngineLoad {
    const now = performance.now();
    const reports = this.#loadReports;
    reports.push({ at: now, load: this.#currentLoad() });
    const due = now - this.cfg.loadLagMs;
    while (reports.length > 1 && (reports[1]?.at ?? Infinity) <= due) {
      reports.shift();
    }
    return reports[0]?.load ?? this.#currentLoad();
  }

  heldIds(): string[] {
    return [
      ...this.#imports.keys(),
      ...this.batch.heldIds(),
      ...this.prefillQueue.heldIds(),
    ];
  }

  currentStats(): EngineStatsSnapshot {
    const heldPieces = this.#usedPieces();
    return { ...this.stats, heldPieces, heldIds: this.heldIds() };
  }

  /** Sets the given faults; `dead` also drops all state. */
  setFaults(faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults);
    this.outgoingLink.stall(this.faults.stallTransfers);
    this.#incomingLink.stall(this.faults.stallTransfers);
    if (this.faults.dead) this.clear();
  }

  /** Drops all state and closes the connections to other engines. */
  async close(): Promise<void> {
    this.clear();
    await this.#kvClient.close();
  }

  /** Aborts imports and drops all requests and prefill results. */
  clear(): void {
    for (const item of this.#imports.values()) item.stop.abort();
    this.batch.clear();
    this.prefillQueue.clear();
  }

  async #importAndStart(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): KvImport["outcome"] {
    const status = await this.#kvClient.fetch(req, signal);
    this.#imports.delete(req.id);
    if (status !== EngineStatus.Ok) {
      this.stats.transfersFailed++;
      return status;
    }
    if (signal.aborted) return EngineStatus.Refused;
    const job = this.batch.add(req);
    void this.#kvClient.reportUsed(req);
    return job;
  }

  #hasCapacity(req: EngineDecodeRequest): boolean {
    if (this.faults.refuse || this.role !== BackendRole.Decode) return false;
    const running = this.batch.running + this.#imports.size;
    const pieces = this.#usedPieces() + piecesOf(contextTokens(req) + 1);
    return running < this.cfg.maxRunning && pieces <= this.cfg.totalPieces;
  }

  #usedPieces(): number {
    let pieces = this.batch.heldPieces() + this.prefillQueue.heldPieces();
    for (const item of this.#imports.values()) pieces += item.pieces;
    return pieces;
  }

  #currentLoad(): EngineLoad {
    return {
      running: this.batch.running,
      waiting: this.prefillQueue.waiting + this.#imports.size,
      maxRunning: this.cfg.maxRunning,
      totalPieces: this.cfg.totalPieces,
      usedPieces: this.#usedPieces(),
      stepMs: this.batch.stepMs,
      prefillRate: this.cfg.prefillRate,
      queuedTokens: this.prefillQueue.queuedTokens,
    };
  }
}
