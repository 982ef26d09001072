/**
 * One request to a plain service. A request that may not be repeated goes to
 * another backend server only after proof that it did not run. One that may be
 * repeated is sent again after any failure, and to a second backend server
 * beside the first when the first is slow, within the retry allowance.
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
import { judgeReply, ReplyVerdict } from "./reply_verdict.ts";
import {
  ageMs,
  type CallerRequest,
  judgeBackend,
  noteMisdirected,
  remainingMs,
  type RunContext,
  RunEnd,
  type RunOutcome,
  RunReason,
  takeRepeat,
} from "./run_context.ts";

/** Share of the latency target after which a second call is made. */
const HEDGE_SHARE = 0.55;
/** A call to a backend server that would have less time isn't made, in ms. */
const MIN_TIME_MS = 5;
/** Wait that a caller is told when no backend server takes work, in ms. */
const BUSY_MS = 250;

/** Sends that were proved not to have run, for one request. */
const MAX_UNEXECUTED_SENDS = 3;

interface CallResult {
  backend: Backend;
  exchange: Exchange;
  verdict: ReplyVerdict | undefined;
}

/** Runs one plain request to its end. */
export function runPlain(
  ctx: RunContext,
  req: CallerRequest,
): Promise<RunOutcome> {
  return new PlainRun(ctx, req).run();
}

class PlainRun {
  readonly #ctx: RunContext;
  readonly #req: CallerRequest;
  readonly #calls = childController();
  readonly #tried = new Set<string>();
  readonly #pending = new Set<Promise<CallResult>>();
  #mayHaveRun = 0;
  #unexecuted = 0;
  #sends = 0;
  #hedged = false;
  /** An answer came that was not the request's. */
  #spoiled = false;
  #lastError: Answered | undefined;
  #lastBackend: string | undefined;

  constructor(ctx: RunContext, req: CallerRequest) {
    this.#ctx = ctx;
    this.#req = req;
  }

  async run(): Promise<RunOutcome> {
    const { signal } = this.#req;
    const onLeft = () => this.#calls.abort();
    signal.addEventListener("abort", onLeft, { once: true });
    if (signal.aborted) onLeft();
    try {
      return await this.#serve();
    } finally {
      signal.removeEventListener("abort", onLeft);
      this.#calls.abort();
    }
  }

  async #serve(): Promise<RunOutcome> {
    this.#ctx.allowanceOf(this.#req.service.name).countRequest();
    if (!this.#launch("first")) {
      return refuse(this.#ctx, this.#req, RunReason.NoBackend, BUSY_MS);
    }
    while (this.#pending.size > 0) {
      const result = await this.#next();
      if (!result) continue;
      if (this.#req.signal.aborted) return this.#left();
      const done = this.#take(result);
      if (done) return done;
    }
    return this.#giveUp();
  }

  /** The next result; undefined when a second call was made instead. */
  async #next(): Promise<CallResult | undefined> {
    const calls = [...this.#pending];
    if (!this.#mayHedge()) return await Promise.race(calls);
    const hedgeMs = this.#req.route.targetLatencyMs * HEDGE_SHARE -
      ageMs(this.#ctx, this.#req);
    let timer: ReturnType<typeof setTimeout> | undefined;
    const slow = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), Math.max(1, hedgeMs));
    });
    const result = await Promise.race([...calls, slow]);
    clearTimeout(timer);
    if (result) return result;
    this.#hedged = true;
    this.#launch("slow");
    return undefined;
  }

  #mayHedge(): boolean {
    return this.#req.route.kind === RouteKind.Safe &&
      !this.#hedged && this.#mayHaveRun < this.#req.route.maxAttempts &&
      this.#ctx.allowanceOf(this.#req.service.name).available >= 1 &&
      this.#candidate() !== undefined;
  }

  #candidate(): Backend | undefined {
    const ctx = this.#ctx;
    return pickPlainBackend(
      ctx.directory.ready(this.#req.service.name),
      ctx,
      this.#tried,
    );
  }

  /** Sends the request to one more backend server; false when it may not. */
  #launch(cause: string): boolean {
    const ctx = this.#ctx;
    const backend = this.#candidate();
    if (!backend) return false;
    if (remainingMs(ctx, this.#req) < MIN_TIME_MS) return false;
    if (this.#sends > 0) {
      if (!takeRepeat(ctx, this.#req, cause)) return false;
    }
    this.#sends += 1;
    this.#mayHaveRun += 1;
    this.#tried.add(incarnationOf(backend));
    this.#lastBackend = backend.id;
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
    const leftMs = remainingMs(ctx, req);
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 0) + 1);
    const result = await exchange(
      ctx.upstream,
      {
        backend,
        method: req.method,
        path: req.target,
        headers: ctx.codec.toBackend(req.headers, {
          remainingMs: leftMs,
          backendId: backend.id,
        }),
        body: req.body,
      },
      leftMs,
      this.#calls.signal,
      (status, headers) => {
        const facts = ctx.codec.readReply(status, headers);
        const id = req.facts.requestId;
        return judgeReply(status, facts, id) !== ReplyVerdict.Foreign;
      },
    );
    ctx.inProgress.set(key, (ctx.inProgress.get(key) ?? 1) - 1);
    const verdict = this.#judge(result);
    this.#recordHealth(backend, result, verdict);
    return { backend, exchange: result, verdict };
  }

  #judge(result: Exchange): ReplyVerdict | undefined {
    if (result.end === ExchangeEnd.Failed) return undefined;
    const facts = this.#ctx.codec.readReply(result.status, result.headers);
    return judgeReply(result.status, facts, this.#req.facts.requestId);
  }

  #recordHealth(
    backend: Backend,
    result: Exchange,
    verdict: ReplyVerdict | undefined,
  ): void {
    if (this.#calls.signal.aborted) return;
    if (result.end === ExchangeEnd.Answered && result.status === 421) {
      const facts = this.#ctx.codec.readReply(421, result.headers);
      noteMisdirected(this.#ctx, backend, facts.backendId);
      return;
    }
    const call = callVerdictOf(verdict);
    judgeBackend(this.#ctx, backend, call, result.elapsedMs);
  }

  /** Takes in one result; an outcome when the request is over. */
  #take(result: CallResult): RunOutcome | undefined {
    const answer = result.exchange;
    if (answer.end === ExchangeEnd.Answered) {
      if (result.verdict === ReplyVerdict.Good) {
        return this.#pass(answer, result.backend, RunEnd.Answered);
      }
      if (result.verdict === ReplyVerdict.Error) this.#lastError = answer;
      if (result.verdict === ReplyVerdict.NotExecuted) this.#countUnexecuted();
    } else {
      if (!answer.sent) this.#countUnexecuted();
      this.#spoiled ||= answer.failure === CallFailure.Foreign;
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
    if (this.#mayRepeat()) this.#launch(result.verdict ?? "no_answer");
    return undefined;
  }

  #countUnexecuted(): void {
    this.#mayHaveRun -= 1;
    this.#unexecuted += 1;
  }

  #mayRepeat(): boolean {
    if (this.#unexecuted > MAX_UNEXECUTED_SENDS) return false;
    if (this.#mayHaveRun >= this.#req.route.maxAttempts) return false;
    return this.#req.route.kind === RouteKind.Safe || this.#mayHaveRun === 0;
  }

  #pass(answer: Answered, backend: Backend, end: RunEnd): RunOutcome {
    this.#req.responder.reply(
      answer.status,
      this.#ctx.codec.toCaller(answer.headers),
      answer.body,
    );
    return {
      end,
      reason: RunReason.None,
      status: answer.status,
      attempts: this.#mayHaveRun,
      backendId: backend.id,
      firstByteMs: ageMs(this.#ctx, this.#req),
    };
  }

  #giveUp(): RunOutcome {
    const ctx = this.#ctx;
    const req = this.#req;
    if (req.signal.aborted) return this.#left();
    if (this.#lastError) {
      const { status, headers, body } = this.#lastError;
      req.responder.reply(status, ctx.codec.toCaller(headers), body);
      return this.#outcome(RunEnd.BackendError, RunReason.None, status);
    }
    if (this.#mayHaveRun === 0) {
      return refuse(ctx, req, RunReason.NotExecuted, BUSY_MS, this.#sends);
    }
    const reason = this.#failureReason();
    return fail(ctx, req, reason, this.#mayHaveRun, this.#lastBackend);
  }

  #failureReason(): RunReason {
    if (remainingMs(this.#ctx, this.#req) < MIN_TIME_MS) {
      return RunReason.TimedOut;
    }
    return this.#spoiled ? RunReason.Spoiled : RunReason.NoAnswer;
  }

  #left(): RunOutcome {
    return this.#outcome(RunEnd.CallerLeft, RunReason.None, 0);
  }

  #outcome(end: RunEnd, reason: RunReason, status: number): RunOutcome {
    return {
      end,
      reason,
      status,
      attempts: this.#mayHaveRun,
      backendId: this.#lastBackend,
    };
  }
}

function callVerdictOf(verdict: ReplyVerdict | undefined): CallVerdict {
  if (verdict === ReplyVerdict.Good) return CallVerdict.Good;
  if (verdict === ReplyVerdict.NotExecuted) return CallVerdict.Shed;
  if (verdict === ReplyVerdict.Error) return CallVerdict.Error;
  return CallVerdict.Silent;
}
