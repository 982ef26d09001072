/** Continuous batching: every step gives each running request one token. */
import {
  type EngineDecodeRequest,
  type EngineEvent,
  EngineEventKind,
} from "@sassafrascleat/engine";
import { FinishReason } from "@sassafrascleat/protocol";
import { addTo, type EngineBooks, requestIdOf } from "./books.ts";
import { ENDED_RETENTION_MS } from "./constants.ts";
import { ExpectedText } from "./expected_text.ts";
import type { ResolvedEngineServerOptions } from "./options.ts";
import { contextTokens, piecesOf } from "./prefill_queue.ts";

/** Receives the events of one request. */
export type EventSink = (event: EngineEvent) => void;

/** One request that is decoded, or that ended a moment ago. */
export class DecodeJob {
  readonly req: EngineDecodeRequest;
  readonly tokens: string[] = [];
  readonly sinks = new Set<EventSink>();
  /** The last event, once there is one. */
  end: EngineEvent | undefined;
  readonly #text: ExpectedText;
  readonly #wanted: number;

  constructor(req: EngineDecodeRequest) {
    this.req = req;
    this.#text = new ExpectedText(req.prompt);
    const limit = req.generated.length + req.maxOutputTokens;
    this.#wanted = this.#text.length(limit) - req.generated.length;
  }

  get pieces(): number {
    return piecesOf(contextTokens(this.req) + this.tokens.length + 1);
  }

  get whole(): boolean {
    return this.tokens.length >= this.#wanted;
  }

  /** Produces the next token. */
  step(): void {
    const index = this.req.generated.length + this.tokens.length;
    const offset = this.tokens.length;
    const token = this.#text.token(index);
    this.tokens.push(token);
    this.emit({ kind: EngineEventKind.Tokens, offset, tokens: [token] });
  }

  /** Ends the request with `event`. */
  finish(event: EngineEvent): void {
    this.end = event;
    this.emit(event);
    this.sinks.clear();
  }

  /** Sends everything from `offset` on to `sink`, now and later. */
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

  endEvent(): EngineEvent {
    const limited = this.tokens.length >= this.req.maxOutputTokens;
    const finish = limited ? FinishReason.Length : FinishReason.Stop;
    const offset = this.tokens.length;
    return { kind: EngineEventKind.End, offset, finish };
  }
}

/** The decode side of the stand-in engine. */
export class DecodeBatch {
  readonly #cfg: ResolvedEngineServerOptions;
  readonly #books: EngineBooks;
  readonly #running = new Map<string, DecodeJob>();
  readonly #ended = new Map<string, DecodeJob>();
  #timer: NodeJS.Timeout | undefined;
  #nextStepAt = 0;
  /** Time of the last step, in milliseconds. */
  stepMs: number;

  constructor(cfg: ResolvedEngineServerOptions, books: EngineBooks) {
    this.#cfg = cfg;
    this.#books = books;
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

  /** The request, running or ended a moment ago. */
  find(id: string): DecodeJob | undefined {
    return this.#running.get(id) ?? this.#ended.get(id);
  }

  /** Takes a request into the batch. */
  add(req: EngineDecodeRequest): DecodeJob {
    const job = new DecodeJob(req);
    this.#running.set(req.id, job);
    this.#books.decodesStarted++;
    addTo(this.#books.executions, req.id, 1);
    if (this.#timer === undefined) {
      this.#nextStepAt = performance.now();
      this.#schedule();
    }
    return job;
  }

  cancel(id: string): void {
    const job = this.#running.get(id);
    this.#ended.delete(id);
    if (!job) return;
    this.#books.decodesCancelled++;
    this.#running.delete(id);
    job.finish({ kind: EngineEventKind.Lost, message: "cancelled" });
  }

  /** Loses everything, as a crash does. */
  clear(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#running.clear();
    this.#ended.clear();
  }

  #schedule(): void {
    const { stepBaseMs, stepPerRequestMs } = this.#cfg;
    this.stepMs = stepBaseMs + stepPerRequestMs * this.#running.size;
    this.#nextStepAt += this.stepMs;
    const waitMs = Math.max(0, this.#nextStepAt - performance.now());
    this.#timer = setTimeout(() => this.#step(), waitMs);
  }

  #step(): void {
    this.#timer = undefined;
    for (const job of this.#running.values()) {
      if (!job.whole) this.#produce(job);
      if (job.whole) this.#end(job, job.endEvent());
    }
    this.#reclaim();
    if (this.#running.size > 0) this.#schedule();
  }

  #produce(job: DecodeJob): void {
    job.step();
    addTo(this.#books.tokensByRequest, requestIdOf(job.req.id), 1);
  }

  /** Drops the youngest requests when memory has run out. */
  #reclaim(): void {
    const jobs = [...this.#running.values()];
    while (this.heldPieces() > this.#cfg.totalPieces) {
      const job = jobs.pop();
      if (!job) return;
      this.#books.decodesLost++;
      const message = "no memory is left for the answer";
      this.#end(job, { kind: EngineEventKind.Lost, message });
    }
  }

  #end(job: DecodeJob, event: EngineEvent): void {
    const { id } = job.req;
    this.#running.delete(id);
    this.#ended.set(id, job);
    job.finish(event);
    if (event.kind === EngineEventKind.End) this.#books.decodesEnded++;
    setTimeout(() => this.#ended.delete(id), ENDED_RETENTION_MS).unref();
  }
}
