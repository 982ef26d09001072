/**
 * Handles one request to a plain service. A request that is not safe to repeat
 * is sent to another backend server only after proof that it did not run. A safe
 * one is retried after any failure, and hedged: while the first backend server
 * is slow, a second one gets the request too. Retries and hedges count against
 * the retry allowance.
 */
import { childController } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { RouteKind } from "../config/routing_table.ts";
import { CallVerdict } from "../decide/backend_health.ts";
import { pickPlainBackend } from "../decide/plain_placement.ts";
import {
  type Answered,
  type Exchange,
  exchange,
  ExchangeEnd,
} from "../http/exchange.ts";
import { CallFailure } from "../http/upstream.ts";
import { fail, refuse } from "./refuse.ts";
import { classifyReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  recordCallResult,
  recordMisdirected,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
  takeRetry,
} from "./run_context.ts";

/** Share of the latency target after which a hedged call is sent. */
const HEDGE_DELAY_SHARE = 0.55;
/** Minimum time until the deadline for a call to be sent, in milliseconds. */
const MIN_REMAINING_MS = 5;
/** Average retry delay suggested when no backend server is available, in ms. */
const EXPECTED_BUSY_MS = 250;

/** One request is retried after at most this many sends proved not to have run. */
const MAX_UNEXECUTED_SENDS = 3;

interface CallResult {
  backend: Backend;
  exchange: Exchange;
  verdict: ReplyVerdict | undefined;
}

/** Handles one plain request until it has an outcome. */
export function runPlain(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  return new PlainRun(ctx, req).run();
}

class PlainRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #controller = childController();
  readonly #tried = new Set<string>();
  readonly #pending = new Set<Promise<CallResult>>();
  #possibleExecutions = 0;
  #unexecutedSends = 0;
  #sends = 0;
  #hedged = false;
  /** An answer to another request, or with a modified body, was received. */
  #gotForeignAnswer = false;
  #lastError: Answered | undefined;
  #lastBackendId: string | undefined;

  constructor(ctx: RunContext, req: CallerRequest) {
    this.#ctx = ctx;
    this.#req = req;
  }

  async run(): Promise<RunOutcome> {
    const { signal } = this.#req;
    const onCallerGone = () => this.#controller.abort();
    signal.addEventListener("abort", onCallerGone, { once: true });
    if (signal.aborted) onCallerGone();
    try {
      return await this.#serve();
    } finally {
      signal.removeEventListener("abort", onCallerGone);
      this.#controller.abort();
    }
  }

  async #serve(): Promise<RunOutcome> {
    this.#ctx.allowanceOf(this.#req.service.name).countRequest();
    if (!this.#send("first")) {
      return refuse(
        this.#ctx,
        this.#req,
        RunReason.NoBackend,
        EXPECTED_BUSY_MS,
      );
    }
    while (this.#pending.size > 0) {
      const result = await this.#nextResult();
      if (!result) continue;
      if (this.#req.signal.aborted) return this.#callerGone();
      const outcome = this.#handleResult(result);
      if (outcome) return outcome;
    }
    return this.#finish();
  }

  /** Waits for the next result; undefined if the hedge delay passed first. */
  async #nextResult(): Promise<CallResult | undefined> {
    const calls = [...this.#pending];
    if (!this.#mayHedge()) return await Promise.race(calls);
    const hedgeMs = this.#req.route.targetLatencyMs * HEDGE_DELAY_SHARE -
      ageMs(this.#ctx, this.#req);
    let timer: ReturnType<typeof setTimeout> | undefined;
    const hedgeTimeout = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), Math.max(1, hedgeMs));
    });
    const result = await Promise.race([...calls, hedgeTimeout]);
    clearTimeout(timer);
    if (result) return result;
    this.#hedged = true;
    this.#send("slow");
    return undefined;
  }

  #mayHedge(): boolean {
    return this.#req.route.kind === RouteKind.Safe &&
      !this.#hedged && this.#possibleExecutions < this.#req.route.maxAttempts &&
      this.#ctx.allowanceOf(this.#req.service.name).available >= 1 &&
      this.#pickCandidate() !== undefined;
  }

  #pickCandidate(): Backend | undefined {
    const ctx = this.#ctx;
    return pickPlainBackend(
      ctx.directory.ready(this.#req.service.name),
      ctx,
      this.#tried,
    );
  }

  /** Sends the request to another backend server; false if that isn't possible. */
  #send(cause: string): boolean {
    const ctx = this.#ctx;
    const backend = this.#pickCandidate();
    if (!backend) return false;
    if (remainingMs(ctx, this.#req) < MIN_REMAINING_MS) return false;
    if (this.#sends > 0) {
      if (!takeRetry(ctx, this.#req, cause)) return false;
    }
    this.#sends += 1;
    this.#possibleExecutions += 1;
    this.#tried.add(incarnationOf(backend));
    this.#lastBackendId = backend.id;
    ctx.log("plain_send", {
      req: this.#req.facts.requestId,
      cause,
      backend: backend.id,
      in_progress: ctx.inProgress.get(incarnationOf(backend)) ?? 0,
      latency_ms: Math.round(ctx.health.of(incarnationOf(backend)).latencyMs),
      remaining_ms: Math.round(remainingMs(ctx, this.#req)),
      config: this.#req.configVersion,
    });
    const call = this.#call(backend).then((result) => {
      this.#pending.delete(call);
      return result;
    });
    this.#pending.add(call);
    return true;
  }

  async #call(backend: Backend): Promise<CallResult> {
    const ctx = this.#ctx;
    const req = this.#req;
    const key = incarnationOf(backend);
    const timeoutMs = remainingMs(ctx, req);
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 0) + 1);
    const result = await exchange(
      ctx.upstream,
      {
        backend,
        method: req.method,
        path: req.target,
        headers: ctx.codec.toBackend(req.headers, {
          remainingMs: timeoutMs,
          backendId: backend.id,
        }),
        body: req.body,
      },
      timeoutMs,
      this.#controller.signal,
      (status, headers) => {
        const facts = ctx.codec.readReply(status, headers);
        const id = req.facts.requestId;
        return classifyReply(status, facts, id) !== ReplyVerdict.Foreign;
      },
    );
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
    const verdict = this.#classify(result);
    this.#recordHealth(backend, result, verdict);
    return { backend, exchange: result, verdict };
  }

  #classify(result: Exchange): ReplyVerdict | undefined {
    if (result.end === ExchangeEnd.Failed) return undefined;
    const facts = this.#ctx.codec.readReply(result.status, result.headers);
    return classifyReply(result.status, facts, this.#req.facts.requestId);
  }

  #recordHealth(
    backend: Backend,
    result: Exchange,
    verdict: ReplyVerdict | undefined,
  ): void {
    if (this.#controller.signal.aborted) return;
    if (result.end === ExchangeEnd.Answered && result.status === 421) {
      const facts = this.#ctx.codec.readReply(421, result.headers);
      recordMisdirected(this.#ctx, backend, facts.backendId);
      return;
    }
    const call = callVerdictOf(verdict);
    recordCallResult(this.#ctx, backend, call, result.elapsedMs);
  }

  /** Handles one result; returns the outcome when the request is finished. */
  #handleResult(result: CallResult): RunOutcome | undefined {
    const answer = result.exchange;
    if (answer.end === ExchangeEnd.Answered) {
      if (result.verdict === ReplyVerdict.Good) {
        return this.#forward(answer, result.backend, RunEnd.Answered);
      }
      if (result.verdict === ReplyVerdict.Error) this.#lastError = answer;
      if (result.verdict === ReplyVerdict.NotExecuted) this.#recordUnexecuted();
    } else {
      if (!answer.sent) this.#recordUnexecuted();
      this.#gotForeignAnswer ||= answer.failure === CallFailure.Foreign;
    }
    this.#ctx.log("plain_call_failed", {
      req: this.#req.facts.requestId,
      backend: result.backend.id,
      verdict: result.verdict ?? "no_answer",
      ...(answer.end === ExchangeEnd.Answered
        ? { status: answer.status }
        : { failure: answer.failure, sent: answer.sent }),
      elapsed_ms: Math.round(answer.elapsedMs),
    });
    if (this.#mayRetry()) this.#send(result.verdict ?? "no_answer");
    return undefined;
  }

  #recordUnexecuted(): void {
    this.#possibleExecutions -= 1;
    this.#unexecutedSends += 1;
  }

  #mayRetry(): boolean {
    if (this.#unexecutedSends > MAX_UNEXECUTED_SENDS) return false;
    if (this.#possibleExecutions >= this.#req.route.maxAttempts) return false;
    return this.#req.route.kind === RouteKind.Safe ||
      this.#possibleExecutions === 0;
  }

  #forward(answer: Answered, backend: Backend, end: RunEnd): RunOutcome {
    this.#req.responder.reply(
      answer.status,
      this.#ctx.codec.toCaller(answer.headers),
      answer.body,
    );
    return {
      end,
      reason: RunReason.None,
      status: answer.status,
      attempts: this.#possibleExecutions,
      backendId: backend.id,
      firstByteMs: ageMs(this.#ctx, this.#req),
    };
  }

  #finish(): RunOutcome {
    const ctx = this.#ctx;
    const req = this.#req;
    if (req.signal.aborted) return this.#callerGone();
    if (this.#lastError) {
      const { status, headers, body } = this.#lastError;
      req.responder.reply(status, ctx.codec.toCaller(headers), body);
      return this.#outcome(RunEnd.BackendError, RunReason.None, status);
    }
    if (this.#possibleExecutions === 0) {
      return refuse(
        ctx,
        req,
        RunReason.NotExecuted,
        EXPECTED_BUSY_MS,
        this.#sends,
      );
    }
    const reason = this.#failureReason();
    return fail(
      ctx,
      req,
      reason,
      this.#possibleExecutions,
      this.#lastBackendId,
    );
  }

  #failureReason(): RunReason {
    if (remainingMs(this.#ctx, this.#req) < MIN_REMAINING_MS) {
      return RunReason.TimedOut;
    }
    return this.#gotForeignAnswer ? RunReason.Spoiled : RunReason.NoAnswer;
  }

  #callerGone(): RunOutcome {
    return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    return {
      end,
      reason,
      status,
      attempts: this.#possibleExecutions,
      backendId: this.#lastBackendId,
    };
  }
}

function callVerdictOf(verdict: ReplyVerdict | undefined): CallVerdict {
  if (verdict === ReplyVerdict.Good) return CallVerdict.Good;
  if (verdict === ReplyVerdict.NotExecuted) return CallVerdict.Shed;
  if (verdict === ReplyVerdict.Error) return CallVerdict.Error;
  return CallVerdict.Silent;
}
