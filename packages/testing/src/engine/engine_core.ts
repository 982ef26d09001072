/** The parts of one stand-in engine and the state that they share. */
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
import { childController } from "@sassafrascleat/runtime";
import {
  createEngineBooks,
  type EngineBooks,
  type EngineBooksNow,
} from "./books.ts";
import { DecodeBatch, type DecodeJob } from "./decode_batch.ts";
import { KvClient } from "./kv_client.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import { contextTokens, piecesOf, PrefillQueue } from "./prefill_queue.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { SharedLink } from "./shared_link.ts";

/** Faults that can be switched while the engine runs. */
export interface EngineFaults {
  /** Nothing moves on the KV link. */
  stallTransfers: boolean;
  /** Every new prefill and decode is refused. */
  refuse: boolean;
  /** The engine has crashed: state is lost, connections are reset. */
  dead: boolean;
}

/** An import in progress, which holds memory. */
interface Import {
  pieces: number;
  stop: AbortController;
  outcome: Promise<DecodeJob | Exclude<EngineStatus, EngineStatus.Ok>>;
}

/** State and behaviour of one stand-in engine, without its HTTP form. */
export class EngineCore {
  readonly cfg: ResolvedEngineServerOptions;
  readonly books: EngineBooks = createEngineBooks();
  readonly prefills: PrefillQueue;
  readonly batch: DecodeBatch;
  readonly cache: PrefixCache;
  readonly outgoing: SharedLink;
  readonly faults: EngineFaults = {
    stallTransfers: false,
    refuse: false,
    dead: false,
  };
  role: BackendRole;
  readonly #incoming: SharedLink;
  readonly #kv: KvClient;
  readonly #imports = new Map<string, Import>();
  readonly #reports: { at: number; load: EngineLoad }[] = [];
  #fencingNumber = 0;

  constructor(cfg: ResolvedEngineServerOptions) {
    this.cfg = cfg;
    this.role = cfg.role;
    this.cache = new PrefixCache(
      cfg.prefixCachePieces,
      cfg.cacheEventLagMs,
      cfg.cacheEventLoss,
      cfg.seed,
    );
    this.prefills = new PrefillQueue(cfg, this.books, this.cache);
    this.batch = new DecodeBatch(cfg, this.books);
    this.outgoing = new SharedLink(cfg.linkRate);
    this.#incoming = new SharedLink(cfg.linkRate);
    this.#kv = new KvClient(cfg, this.#incoming);
  }

  /** Imports the prefill result and takes the request into the batch. */
  decode(req: EngineDecodeRequest): Import["outcome"] {
    const known = this.batch.find(req.id);
    if (known) return Promise.resolve(known);
    const importing = this.#imports.get(req.id);
    if (importing) return importing.outcome;
    if (!this.#hasPlace(req)) return Promise.resolve(EngineStatus.Refused);
    const stop = childController();
    const pieces = piecesOf(contextTokens(req) + 1);
    const outcome = this.#import(req, stop.signal);
    this.#imports.set(req.id, { pieces, stop, outcome });
    return outcome;
  }

  cancel(id: string): void {
    this.#imports.get(id)?.stop.abort();
    this.batch.cancel(id);
    this.prefills.cancel(id);
  }

  /** Follows an order, unless its fencing number is old and that is checked. */
  order(req: OrderRequest): boolean {
    const old = req.fencingNumber < this.#fencingNumber;
    if (old && !this.cfg.ignoreFencing) return false;
    this.#fencingNumber = Math.max(req.fencingNumber, this.#fencingNumber);
    if (req.kind === OrderKind.ChangeRole) {
      const prefill = req.target === BackendRole.Prefill;
      this.role = prefill ? BackendRole.Prefill : BackendRole.Decode;
    }
    this.books.orders.push(req);
    return true;
  }

  /** The load as it was some time ago. */
  load(): EngineLoad {
    const now = performance.now();
    const reports = this.#reports;
    reports.push({ at: now, load: this.#loadNow() });
    const due = now - this.cfg.loadLagMs;
    while (reports.length > 1 && (reports[1]?.at ?? Infinity) <= due) {
      reports.shift();
    }
    return reports[0]?.load ?? this.#loadNow();
  }

  heldIds(): string[] {
    return [
      ...this.#imports.keys(),
      ...this.batch.heldIds(),
      ...this.prefills.heldIds(),
    ];
  }

  booksNow(): EngineBooksNow {
    const heldPieces = this.#usedPieces();
    return { ...this.books, heldPieces, heldIds: this.heldIds() };
  }

  /** Switches faults; death loses all state. */
  setFaults(faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults);
    this.outgoing.stall(this.faults.stallTransfers);
    this.#incoming.stall(this.faults.stallTransfers);
    if (this.faults.dead) this.clear();
  }

  /** Ends the engine for good. */
  async close(): Promise<void> {
    this.clear();
    await this.#kv.close();
  }

  /** Loses everything that is held. */
  clear(): void {
    for (const item of this.#imports.values()) item.stop.abort();
    this.batch.clear();
    this.prefills.clear();
  }

  async #import(
    req: EngineDecodeRequest,
    signal: AbortSignal,
  ): Import["outcome"] {
    const status = await this.#kv.fetch(req, signal);
    this.#imports.delete(req.id);
    if (status !== EngineStatus.Ok) {
      this.books.transfersFailed++;
      return status;
    }
    if (signal.aborted) return EngineStatus.Refused;
    const job = this.batch.add(req);
    void this.#kv.confirm(req);
    return job;
  }

  #hasPlace(req: EngineDecodeRequest): boolean {
    if (this.faults.refuse || this.role !== BackendRole.Decode) return false;
    const running = this.batch.running + this.#imports.size;
    const pieces = this.#usedPieces() + piecesOf(contextTokens(req) + 1);
    return running < this.cfg.maxRunning && pieces <= this.cfg.totalPieces;
  }

  #usedPieces(): number {
    let pieces = this.batch.heldPieces() + this.prefills.heldPieces();
    for (const item of this.#imports.values()) pieces += item.pieces;
    return pieces;
  }

  #loadNow(): EngineLoad {
    return {
      running: this.batch.running,
      waiting: this.prefills.waiting + this.#imports.size,
      maxRunning: this.cfg.maxRunning,
      totalPieces: this.cfg.totalPieces,
      usedPieces: this.#usedPieces(),
      stepMs: this.batch.stepMs,
      prefillRate: this.cfg.prefillRate,
      queuedTokens: this.prefills.queuedTokens,
    };
  }
}
