/** Runs prompts in chunks, highest priority first, and keeps results briefly. */
import {
  type EnginePrefillRequest,
  type EnginePrefillResult,
  EngineStatus,
} from "@sassafrascleat/engine";
import { TOKENS_PER_PIECE } from "@sassafrascleat/protocol";
import { sleep } from "@sassafrascleat/runtime";
import type { EngineBooks } from "./books.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import type { PrefixCache } from "./prefix_cache.ts";

interface PrefillJob {
  req: EnginePrefillRequest;
  remaining: number;
  cachedTokens: number;
  begunAt: number | undefined;
  result: Promise<EnginePrefillResult>;
  settle: (result: EnginePrefillResult) => void;
}

/** A result that can be exported until it expires. */
interface StoredResult {
  id: string;
  tokens: number;
  ranTokens: number;
  expiresAt: number;
  /** Exports in progress; they keep the result alive. */
  exports: number;
  used: boolean;
}

/** The prefill side of the stand-in engine. */
export class PrefillQueue {
  readonly #cfg: ResolvedEngineServerOptions;
  readonly #books: EngineBooks;
  readonly #cache: PrefixCache;
  readonly #jobs = new Map<string, PrefillJob>();
  readonly #results = new Map<string, StoredResult>();
  #working = false;
  #busyUntil = 0;

  constructor(
    cfg: ResolvedEngineServerOptions,
    books: EngineBooks,
    cache: PrefixCache,
  ) {
    this.#cfg = cfg;
    this.#books = books;
    this.#cache = cache;
  }

  /** Prompt tokens queued and in work. */
  get queuedTokens(): number {
    let tokens = 0;
    for (const job of this.#jobs.values()) tokens += job.remaining;
    return tokens;
  }

  get waiting(): number {
    return this.#jobs.size;
  }

  /** Ids of work and of results held. */
  heldIds(): string[] {
    const results = [...this.#results.values()].map((result) => result.id);
    return [...this.#jobs.keys(), ...results];
  }

  heldPieces(): number {
    let pieces = 0;
    for (const job of this.#jobs.values()) {
      pieces += piecesOf(job.req.promptTokens);
    }
    for (const result of this.#results.values()) {
      pieces += piecesOf(result.tokens);
    }
    return pieces;
  }

  /** Runs a prompt; a repeat of an id joins the first one. */
  run(req: EnginePrefillRequest): Promise<EnginePrefillResult> {
    const known = this.#jobs.get(req.id);
    if (known) return known.result;
    if (this.#results.has(handleOf(req.id))) {
      return Promise.resolve(this.#reply(handleOf(req.id), 0, 0));
    }
    const pieces = this.heldPieces() + piecesOf(req.promptTokens);
    if (pieces > this.#cfg.totalPieces) {
      const message = "no memory is free for the prompt";
      return Promise.resolve({ status: EngineStatus.Refused, message });
    }
    return this.#enqueue(req).result;
  }

  /** Drops the work and the result of `id`. */
  cancel(id: string): void {
    const job = this.#jobs.get(id);
    if (job) {
      this.#jobs.delete(id);
      this.#books.prefillsCancelled++;
      this.#books.wastedTokens += runTokens(job);
      job.settle({ status: EngineStatus.Refused, message: "cancelled" });
    }
    this.#drop(handleOf(id));
  }

  /** Keeps a result alive for an export; undefined when it has expired. */
  beginExport(handle: string): number | undefined {
    const result = this.#results.get(handle);
    if (!result || result.expiresAt <= performance.now()) return undefined;
    result.exports++;
    return result.tokens;
  }

  endExport(handle: string): void {
    const result = this.#results.get(handle);
    if (!result) return;
    result.exports--;
    this.#scheduleExpiry(handle);
  }

  /** Records that a decode with the result has begun, and frees it. */
  markUsed(handle: string): void {
    const result = this.#results.get(handle);
    if (!result || result.used) return;
    result.used = true;
    this.#books.prefillsUsed++;
    this.#drop(handle);
  }

  /** Loses everything, as a crash does. */
  clear(): void {
    for (const job of this.#jobs.values()) {
      job.settle({ status: EngineStatus.Unreachable, message: "engine died" });
    }
    this.#jobs.clear();
    this.#results.clear();
  }

  #enqueue(req: EnginePrefillRequest): PrefillJob {
    let settle: PrefillJob["settle"] = () => {};
    const result = new Promise<EnginePrefillResult>((resolve) =>
      settle = resolve
    );
    const job: PrefillJob = {
      req,
      remaining: req.promptTokens,
      cachedTokens: 0,
      begunAt: undefined,
      result,
      settle,
    };
    this.#jobs.set(req.id, job);
    if (!this.#working) void this.#work();
    return job;
  }

  async #work(): Promise<void> {
    this.#working = true;
    for (let job = this.#next(); job; job = this.#next()) {
      if (job.begunAt === undefined) this.#begin(job);
      const chunk = Math.min(job.remaining, this.#cfg.prefillChunkTokens);
      await this.#spend(chunk * 1000 / this.#cfg.prefillRate);
      job.remaining -= chunk;
      const current = this.#jobs.get(job.req.id) === job;
      if (current && job.remaining <= 0) this.#finish(job);
    }
    this.#working = false;
  }

  #next(): PrefillJob | undefined {
    let best: PrefillJob | undefined;
    for (const job of this.#jobs.values()) {
      if (!best || job.req.priority > best.req.priority) best = job;
    }
    return best;
  }

  #begin(job: PrefillJob): void {
    job.begunAt = performance.now();
    const hits = this.#cache.hits(job.req.pieceHashes);
    const cached = Math.min(hits * TOKENS_PER_PIECE, job.req.promptTokens - 1);
    job.cachedTokens = Math.max(0, cached);
    job.remaining -= job.cachedTokens;
  }

  /** Waits so that the long-term rate is exact despite coarse timers. */
  async #spend(ms: number): Promise<void> {
    const now = performance.now();
    this.#busyUntil = Math.max(now, this.#busyUntil) + ms;
    await sleep(this.#busyUntil - now);
  }

  #finish(job: PrefillJob): void {
    const { id, promptTokens, pieceHashes } = job.req;
    const handle = handleOf(id);
    const ranTokens = promptTokens - job.cachedTokens;
    this.#jobs.delete(id);
    this.#cache.add(pieceHashes);
    this.#books.prefillsRun++;
    this.#books.prefillTokens += ranTokens;
    this.#books.cachedTokens += job.cachedTokens;
    this.#results.set(handle, {
      id,
      tokens: promptTokens,
      ranTokens,
      expiresAt: performance.now() + this.#cfg.resultLifetimeMs,
      exports: 0,
      used: false,
    });
    this.#scheduleExpiry(handle);
    const ranMs = performance.now() - (job.begunAt ?? 0);
    job.settle(this.#reply(handle, job.cachedTokens, ranMs));
  }

  #reply(
    handle: string,
    cachedTokens: number,
    ranMs: number,
  ): EnginePrefillResult {
    const result = this.#results.get(handle);
    const expiresInMs = (result?.expiresAt ?? 0) - performance.now();
    if (!result || expiresInMs <= 0) {
      return { status: EngineStatus.Expired, message: "the result expired" };
    }
    return {
      status: EngineStatus.Ok,
      handle,
      tokens: result.tokens,
      cachedTokens,
      ranMs,
      expiresInMs,
    };
  }

  #scheduleExpiry(handle: string): void {
    const result = this.#results.get(handle);
    if (!result || result.exports > 0) return;
    const waitMs = Math.ceil(result.expiresAt - performance.now());
    setTimeout(() => this.#expire(handle, result), waitMs).unref();
  }

  #expire(handle: string, result: StoredResult): void {
    if (this.#results.get(handle) !== result || result.exports > 0) return;
    if (result.expiresAt > performance.now()) {
      return this.#scheduleExpiry(handle);
    }
    this.#books.prefillsExpired++;
    this.#drop(handle);
  }

  #drop(handle: string): void {
    const result = this.#results.get(handle);
    if (!result) return;
    if (!result.used) this.#books.wastedTokens += result.ranTokens;
    this.#results.delete(handle);
  }
}

function handleOf(id: string): string {
  return `kv:${id}`;
}

/** Pieces that `tokens` occupy. */
export function piecesOf(tokens: number): number {
  return Math.ceil(tokens / TOKENS_PER_PIECE);
}

function runTokens(job: PrefillJob): number {
  if (job.begunAt === undefined) return 0;
  return job.req.promptTokens - job.cachedTokens - job.remaining;
}
