/** Continuous batching: each step produces one token per running request. */
import {
  type EngineDecodeRequest,
  type EngineEvent,
  EngineEventKind,
} from "@sassafrascleat/engine";
import { FinishReason } from "@sassafrascleat/protocol";
import { type EngineStats, incrementBy, requestIdOf } from "./engine_stats.ts";
import { ENDED_RETENTION_MS } from "./constants.ts";
import { ExpectedText } from "./expected_text.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import { contextTokens, piecesOf } from "./prefill_queue.ts";

/** Receives the events of one request. */
export type EventSink = (event: EngineEvent) => void;

/** A decode request that is running or has ended recently. */
export class DecodeJob {
  readonly req: EngineDecodeRequest;
  readonly tokens: string[] = [];
  readonly sinks = new Set<EventSink>();
  /** The final event; undefined while the request is running. */
  end: EngineEvent | undefined;
  readonly #expected: ExpectedText;
  readonly #outputLength: number;

  constructor(req: EngineDecodeRequest) {
    this.req = req;
    this.#expected = new ExpectedText(req.prompt);
    const limit = req.generated.length + req.maxOutputTokens;
    this.#outputLength = this.#expected.length(limit) - req.generated.length;
  }

  get pieces(): number {
    return piecesOf(contextTokens(this.req) + this.tokens.length + 1);
  }

  get isComplete(): boolean {
    return this.tokens.length >= this.#outputLength;
  }

  /** Produces the next token. */
  produceToken(): void {
    const index = this.req.generated.length + this.tokens.length;
    const offset = this.tokens.length;
    const token = this.#expected.token(index);
    this.tokens.push(token);
    this.emit({ kind: EngineEventKind.Tokens, offset, tokens: [token] });
  }

  /** Ends the request, sending `event` as the final event. */
  finish(event: EngineEvent): void {
    this.end = event;
    this.emit(event);
    this.sinks.clear();
  }

  /** Sends the tokens from `offset` on to `sink`, then all later events. */
  attach(offset: number, sink: EventSink): void {
    const tokens = this.tokens.slice(offset);
    if (tokens.length > 0) {
      sink({ kind: EngineEventKind.Tokens, offset, tokens });
    }
    if (this.end) sink(this.end);
    else this.sinks.add(sink);
  }

  emit(event: EngineEvent): void {
    for (const sink of this.sinks) sink(event);
  }

  createEndEvent(): EngineEvent {
    const limited = this.tokens.length >= this.req.maxOutputTokens;
    const finish = limited ? FinishReason.Length : FinishReason.Stop;
    const offset = this.tokens.length;
    return { kind: EngineEventKind.End, offset, finish };
  }
}

/** The decode batch of the simulated engine. */
export class DecodeBatch {
  readonly #cfg: ResolvedEngineServerOptions;
  readonly #stats: EngineStats;
  readonly #running = new Map<string, DecodeJob>();
  readonly #ended = new Map<string, DecodeJob>();
  #timer: NodeJS.Timeout | undefined;
  #nextStepAt = 0;
  /** Duration of the last step, in milliseconds. */
  stepMs: number;

  constructor(cfg: ResolvedEngineServerOptions, stats: EngineStats) {
    this.#cfg = cfg;
    this.#stats = stats;
    this.stepMs = cfg.stepBaseMs;
  }

  get running(): number {
    return this.#running.size;
  }

  heldIds(): string[] {
    return [...this.#running.keys()];
  }

  heldPieces(): number {
    let pieces = 0;
    for (const job of this.#running.values()) pieces += job.pieces;
    return pieces;
  }

  /** Finds a request that is running or has ended recently. */
  find(id: string): DecodeJob | undefined {
    return this.#running.get(id) ?? this.#ended.get(id);
  }

  /** Adds a request to the batch and starts stepping if the batch was empty. */
  add(req: EngineDecodeRequest): DecodeJob {
    const job = new DecodeJob(req);
    this.#running.set(req.id, job);
    this.#stats.decodesStarted++;
    incrementBy(this.#stats.executions, req.id, 1);
    if (this.#timer === undefined) {
      this.#nextStepAt = performance.now();
      this.#scheduleStep();
    }
    return job;
  }

  cancel(id: string): void {
    const job = this.#running.get(id);
    this.#ended.delete(id);
    if (!job) return;
    this.#stats.decodesCancelled++;
    this.#running.delete(id);
    job.finish({ kind: EngineEventKind.Lost, message: "cancelled" });
  }

  /** Drops all requests without notifying their sinks, as a crash does. */
  clear(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#running.clear();
    this.#ended.clear();
  }

  #scheduleStep(): void {
    const { stepBaseMs, stepPerRequestMs } = this.#cfg;
    this.stepMs = stepBaseMs + stepPerRequestMs * this.#running.size;
    this.#nextStepAt += this.stepMs;
    const waitMs = Math.max(0, this.#nextStepAt - performance.now());
    this.#timer = setTimeout(() => this.#runStep(), waitMs);
  }

  #runStep(): void {
    this.#timer = undefined;
    for (const job of this.#running.values()) {
      if (!job.isComplete) this.#produceToken(job);
      if (job.isComplete) this.#endJob(job, job.createEndEvent());
    }
    this.#dropOverflow();
    if (this.#running.size > 0) this.#scheduleStep();
  }

  #produceToken(job: DecodeJob): void {
    job.produceToken();
    incrementBy(this.#stats.tokensByRequest, requestIdOf(job.req.id), 1);
  }

  /** Drops the most recently added requests while memory is over its limit. */
  #dropOverflow(): void {
    const jobs = [...this.#running.values()];
    while (this.heldPieces() > this.#cfg.totalPieces) {
      const job = jobs.pop();
      if (!job) return;
      this.#stats.decodesLost++;
      const message = "out of KV memory during decode";
      this.#endJob(job, { kind: EngineEventKind.Lost, message });
    }
  }

  #endJob(job: DecodeJob, event: EngineEvent): void {
    const { id } = job.req;
    this.#running.delete(id);
    this.#ended.set(id, job);
    job.finish(event);
    if (event.kind === EngineEventKind.End) this.#stats.decodesEnded++;
    setTimeout(() => this.#ended.delete(id), ENDED_RETENTION_MS).unref();
  }
}
