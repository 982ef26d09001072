/**
 * Runs one model request: places it at a decode engine, prefills the prompt and
 * streams the answer. When an engine is lost, the next attempt continues after
 * the tokens already sent. All attempts share one deadline and the service's
 * retry budget. When a decode engine could not fetch a prefill result, the next
 * attempt uses another decode engine with the same result, unless it expired.
 */
import type { ModelService } from "@sassafrascleat/config";
import {
  answered,
  FinishReason,
  notRun,
  NotRunReason,
  type Outcome,
  OutcomeKind,
  type StartRequest,
  StreamFailure,
} from "@sassafrascleat/protocol";
import {
  type AdmissionTicket,
  type FailureReason,
  RetryAction,
  retryDecision,
} from "@sassafrascleat/routing";
import { createLogger, sleep } from "@sassafrascleat/runtime";
import { PrefillUse } from "../metrics.ts";
import {
  AttemptStream,
  type StreamEnd,
  type TokenSink,
} from "../sidecar_client/attempt_stream.ts";
import { LatencyRecorder } from "./latency_recorder.ts";
import { abortOutcome, type Call, type GrantedSlot } from "./call.ts";
import type { EntryContext } from "./context.ts";
import type { Lane } from "./lanes.ts";
import {
  type ModelAnswer,
  outcomeForCaller,
  priorityOf,
} from "./model_outcome.ts";
import { Prefiller, type PrefillKv } from "./prefiller.ts";

const log = createLogger("entry:model");

/** Inputs of a model call besides its `Call`. */
export interface ModelCallParts {
  ctx: EntryContext;
  lane: Lane;
  service: ModelService;
  prompt: string;
  ticket: AdmissionTicket;
  /** Receives each token of the answer once, in order. */
  sink: TokenSink;
}

/** An attempt that ended before the answer was complete. */
interface AttemptFailed {
  reason: FailureReason;
}

type AttemptEnd = { outcome: Outcome<ModelAnswer> } | { failed: AttemptFailed };

/** Runs one model request until it has an outcome. */
export class ModelCall {
  readonly #call: Call;
  readonly #parts: ModelCallParts;
  readonly #ctx: EntryContext;
  readonly #prefiller: Prefiller;
  readonly #latency: LatencyRecorder;
  readonly #generated: string[] = [];
  #kv: PrefillKv | undefined;
  #tries = 0;
  /** Whether an engine may have worked on this request. */
  #mayHaveRun = false;

  constructor(call: Call, parts: ModelCallParts) {
    this.#call = call;
    this.#parts = parts;
    this.#ctx = parts.ctx;
    this.#prefiller = new Prefiller(parts.ctx);
    const { clock, metrics } = parts.ctx;
    const service = call.service.name;
    this.#latency = new LatencyRecorder(clock, metrics, service, call.req);
  }

  async run(): Promise<Outcome<ModelAnswer>> {
    const { policy } = this.#call;
    const { budget } = this.#parts.lane;
    budget.deposit();
    try {
      while (true) {
        this.#tries += 1;
        const end = await this.#attempt();
        if ("outcome" in end) return end.outcome;
        const decision = retryDecision({
          reason: end.failed.reason,
          attempt: this.#tries,
          maxAttempts: policy.maxAttempts,
          remainingMs: this.#call.req.deadlineMs - this.#ctx.clock.now(),
          repeatable: true,
        }, budget);
        if (decision.action === RetryAction.GiveUp) {
          return this.#retriesExhausted(end.failed.reason);
        }
        await this.#prepareRetry(end.failed, decision.delayMs);
      }
    } finally {
      this.#releaseKv();
    }
  }

  async #prepareRetry(failed: AttemptFailed, delayMs: number): Promise<void> {
    const service = this.#call.service.name;
    this.#ctx.metrics.retries.inc({ service, failure: failed.reason });
    log("retry", {
      request: this.#call.requestId,
      attempt: this.#call.attempt,
      failure: failed.reason,
    });
    await sleep(delayMs, this.#call.signal);
    this.#call.nextAttempt();
    const { ticket } = this.#parts;
    ticket.partlyAnswered = this.#generated.length > 0;
    ticket.queueDeadlineMs = this.#call.req.deadlineMs;
  }

  async #attempt(): Promise<AttemptEnd> {
    const placed = await this.#place();
    if (placed.kind !== OutcomeKind.Answered) {
      return { outcome: this.#outcomeForCaller(placed) };
    }
    const place = placed.value;
    this.#latency.placed();
    if (!this.#kv) {
      const failed = await this.#prefill(place);
      if (failed) return failed;
    }
    return this.#stream(place, this.#kv!);
  }

  async #place(): Promise<Outcome<GrantedSlot>> {
    const { lane, ticket } = this.#parts;
    const { dispatcher, reserver } = lane;
    if (this.#kv?.isTransferable(this.#ctx.clock.now())) {
      const result = await reserver.reserve(this.#call);
      if (result.placed) return answered(result.place);
    }
    this.#releaseKv();
    if (this.#tries > 1) return dispatcher.placeAgain(this.#call, ticket);
    const outcome = await dispatcher.place(this.#call, ticket);
    this.#observeQueueTime();
    return outcome;
  }

  #observeQueueTime(): void {
    const waitedMs = this.#ctx.clock.now() - this.#call.req.arrivedAtMs;
    const labels = { service: this.#call.service.name };
    this.#ctx.metrics.queueSeconds.observe(labels, waitedMs / 1_000);
  }

  async #prefill(place: GrantedSlot): Promise<AttemptEnd | undefined> {
    const { service, prompt } = this.#parts;
    const result = await this.#prefiller.prefill(this.#call, place, {
      model: service.model,
      prompt,
      prefillPool: service.prefillPool,
      generated: this.#generated,
    });
    if (result.done) {
      this.#mayHaveRun = true;
      this.#latency.prefilled();
      this.#kv = result.kv;
      return undefined;
    }
    this.#parts.lane.reserver.release(place);
    this.#mayHaveRun ||= result.mayHaveRun;
    if (this.#call.signal.aborted) return { outcome: this.#abortedOutcome() };
    return { failed: { reason: result.reason } };
  }

  async #stream(place: GrantedSlot, kv: PrefillKv): Promise<AttemptEnd> {
    const stream = new AttemptStream(
      place.client,
      this.#startRequest(place, kv),
    );
    const { metrics } = this.#ctx;
    let end: StreamEnd;
    this.#mayHaveRun = true;
    place.lease.release();
    const lease = this.#ctx.renewer.add(
      place.server.name,
      place.client,
      place.ref,
      () => stream.reconnect(),
    );
    try {
      end = await stream.run(
        (tokens) => this.#deliverTokens(tokens, kv),
        this.#call.signal,
      );
    } catch (err) {
      void this.#ctx.canceller.cancel(place.client, place.ref);
      throw err;
    } finally {
      lease.release();
      metrics.streamReconnects.inc(stream.reconnects);
      metrics.droppedFrames.inc(stream.dropped);
    }
    return end.ended
      ? { outcome: this.#completeAnswer(end.finish) }
      : this.#handleStreamFailure(place, kv, end.failure, end);
  }

  #startRequest(place: GrantedSlot, kv: PrefillKv): StartRequest {
    const { req } = this.#call;
    return {
      ...place.ref,
      entryId: this.#ctx.options.entryId,
      incarnation: place.incarnation,
      model: this.#parts.service.model,
      prompt: this.#parts.prompt,
      generated: [...this.#generated],
      promptTokens: req.promptTokens,
      maxOutputTokens: req.maxOutputTokens - this.#generated.length,
      priority: priorityOf(req.requestClass),
      kv: kv.handleAt(this.#ctx.clock.now()),
    };
  }

  #deliverTokens(tokens: string[], kv: PrefillKv): Promise<void> | undefined {
    kv.count(PrefillUse.Used);
    this.#generated.push(...tokens);
    this.#latency.tokens(tokens.length);
    return this.#parts.sink(tokens);
  }

  #completeAnswer(finish: FinishReason): Outcome<ModelAnswer> {
    this.#kv?.count(PrefillUse.Used);
    const { service, policy } = this.#call;
    const outputTokens = this.#generated.length;
    this.#latency.completed(policy);
    this.#ctx.outputEstimator.observe(service.name, outputTokens);
    return answered({ finish, outputTokens });
  }

  #handleStreamFailure(
    place: GrantedSlot,
    kv: PrefillKv,
    failure: StreamFailure,
    end: { refusal?: FailureReason },
  ): AttemptEnd {
    void this.#ctx.canceller.cancel(place.client, place.ref);
    if (this.#call.signal.aborted) return { outcome: this.#abortedOutcome() };
    if (this.#generated.length >= this.#call.req.maxOutputTokens) {
      return { outcome: this.#completeAnswer(FinishReason.Length) };
    }
    this.#call.excludedServers.add(place.server.name);
    if (failure === StreamFailure.EngineLost) {
      this.#ctx.hosts.observeFailure(place.server.name);
    }
    const kvReusable = failure === StreamFailure.TransferFailed ||
      failure === StreamFailure.Refused;
    if (!kvReusable || !kv.isTransferable(this.#ctx.clock.now())) {
      this.#releaseKv();
    }
    const reason = failure === StreamFailure.Refused
      ? end.refusal ?? failure
      : failure;
    return { failed: { reason: toRetryable(reason) } };
  }

  /** Counts an unused prefill result as wasted and frees it at its engine. */
  #releaseKv(): void {
    const kv = this.#kv;
    this.#kv = undefined;
    if (!kv) return;
    kv.count(PrefillUse.Wasted);
    if (!kv.used && kv.isTransferable(this.#ctx.clock.now())) {
      void this.#ctx.canceller.cancel(kv.client, kv.ref);
    }
  }

  /** The outcome after the caller's abort or the deadline. */
  #abortedOutcome(): Outcome<ModelAnswer> {
    return this.#outcomeForCaller(abortOutcome(this.#call.signal));
  }

  #retriesExhausted(reason: FailureReason): Outcome<ModelAnswer> {
    return this.#outcomeForCaller(
      notRun(
        NotRunReason.BackendUnavailable,
        `no backend server could run the request (${reason})`,
        1_000,
      ),
    );
  }

  #outcomeForCaller<T>(outcome: Outcome<T>): Outcome<ModelAnswer> {
    return outcomeForCaller(outcome, this.#mayHaveRun, this.#call.signal);
  }
}

/**
 * Maps a cancellation that this call did not request to `EngineLost`, which is
 * retried.
 */
function toRetryable(reason: FailureReason): FailureReason {
  const cancelledElsewhere = reason === StreamFailure.Cancelled;
  return cancelledElsewhere ? StreamFailure.EngineLost : reason;
}
