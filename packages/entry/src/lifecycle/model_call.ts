/**
 * The life of one model request: place, prefill, stream, and again from the
 * tokens already sent when an engine is lost. All attempts share one deadline
 * and the service's retry budget. A decode engine that could not fetch a
 * prefill result is replaced by another one while the result lives.
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
import { AnswerMeter } from "./answer_meter.ts";
import { abortOutcome, type Call, type Place } from "./call.ts";
import type { EntryContext } from "./context.ts";
import type { Lane } from "./lanes.ts";
import {
  honestOutcome,
  type ModelAnswer,
  priorityOf,
} from "./model_outcome.ts";
import { type LiveKv, Prefiller } from "./prefiller.ts";

const log = createLogger("entry:model");

/** What a model call needs besides its `Call`. */
export interface ModelCallParts {
  ctx: EntryContext;
  lane: Lane;
  service: ModelService;
  prompt: string;
  ticket: AdmissionTicket;
  /** Takes the answer's tokens in order, each once. */
  sink: TokenSink;
}

/** An attempt that ended without the whole answer. */
interface AttemptFailed {
  reason: FailureReason;
}

type AttemptEnd = { outcome: Outcome<ModelAnswer> } | { failed: AttemptFailed };

/** Runs one model request to its outcome. */
export class ModelCall {
  readonly #call: Call;
  readonly #parts: ModelCallParts;
  readonly #ctx: EntryContext;
  readonly #prefiller: Prefiller;
  readonly #meter: AnswerMeter;
  readonly #generated: string[] = [];
  #kv: LiveKv | undefined;
  #tries = 0;
  /** Whether an engine may have worked for this request. */
  #mayHaveRun = false;

  constructor(call: Call, parts: ModelCallParts) {
    this.#call = call;
    this.#parts = parts;
    this.#ctx = parts.ctx;
    this.#prefiller = new Prefiller(parts.ctx);
    const { clock, metrics } = parts.ctx;
    const service = call.service.name;
    this.#meter = new AnswerMeter(clock, metrics, service, call.req);
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
          return this.#giveUp(end.failed.reason);
        }
        await this.#prepareRetry(end.failed, decision.afterMs);
      }
    } finally {
      this.#dropKv();
    }
  }

  async #prepareRetry(failed: AttemptFailed, afterMs: number): Promise<void> {
    const service = this.#call.service.name;
    this.#ctx.metrics.retries.inc({ service, failure: failed.reason });
    log("retry", {
      request: this.#call.requestId,
      attempt: this.#call.attempt,
      failure: failed.reason,
    });
    await sleep(afterMs, this.#call.signal);
    this.#call.nextAttempt();
    const { ticket } = this.#parts;
    ticket.midAnswer = this.#generated.length > 0;
    ticket.giveUpAtMs = this.#call.req.deadlineMs;
  }

  async #attempt(): Promise<AttemptEnd> {
    const placed = await this.#place();
    if (placed.kind !== OutcomeKind.Answered) {
      return { outcome: this.#honest(placed) };
    }
    const place = placed.value;
    this.#meter.placed();
    if (!this.#kv) {
      const failed = await this.#prefill(place);
      if (failed) return failed;
    }
    return this.#stream(place, this.#kv!);
  }

  async #place(): Promise<Outcome<Place>> {
    const { lane, ticket } = this.#parts;
    const { dispatcher, reserver } = lane;
    if (this.#kv?.alive(this.#ctx.clock.now())) {
      const result = await reserver.reserve(this.#call);
      if (result.placed) return answered(result.place);
    }
    this.#dropKv();
    if (this.#tries > 1) return dispatcher.placeAgain(this.#call, ticket);
    const outcome = await dispatcher.place(this.#call, ticket);
    this.#observeQueue();
    return outcome;
  }

  #observeQueue(): void {
    const waitedMs = this.#ctx.clock.now() - this.#call.req.arrivedAtMs;
    const labels = { service: this.#call.service.name };
    this.#ctx.metrics.queueSeconds.observe(labels, waitedMs / 1_000);
  }

  async #prefill(place: Place): Promise<AttemptEnd | undefined> {
    const { service, prompt } = this.#parts;
    const result = await this.#prefiller.prefill(this.#call, place, {
      model: service.model,
      prompt,
      prefillPool: service.prefillPool,
      generated: this.#generated,
    });
    if (result.done) {
      this.#mayHaveRun = true;
      this.#meter.prefilled();
      this.#kv = result.kv;
      return undefined;
    }
    this.#parts.lane.reserver.release(place);
    this.#mayHaveRun ||= result.mayHaveRun;
    if (this.#call.signal.aborted) return { outcome: this.#stopped() };
    return { failed: { reason: result.reason } };
  }

  async #stream(place: Place, kv: LiveKv): Promise<AttemptEnd> {
    const stream = new AttemptStream(place.client, this.#start(place, kv));
    const { metrics } = this.#ctx;
    let end: StreamEnd;
    this.#mayHaveRun = true;
    place.lease.release();
    const lease = this.#ctx.renewer.add(
      place.server.name,
      place.client,
      place.ref,
      () => stream.redial(),
    );
    try {
      end = await stream.run(
        (tokens) => this.#take(tokens, kv),
        this.#call.signal,
      );
    } catch (err) {
      void this.#ctx.canceller.cancel(place.client, place.ref);
      throw err;
    } finally {
      lease.release();
      metrics.redials.inc(stream.redials);
      metrics.droppedFrames.inc(stream.dropped);
    }
    return end.ended
      ? { outcome: this.#whole(end.finish) }
      : this.#failed(place, kv, end.failure, end);
  }

  #start(place: Place, kv: LiveKv): StartRequest {
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

  #take(tokens: string[], kv: LiveKv): Promise<void> | undefined {
    kv.count(PrefillUse.Used);
    this.#generated.push(...tokens);
    this.#meter.tokens(tokens.length);
    return this.#parts.sink(tokens);
  }

  #whole(finish: FinishReason): Outcome<ModelAnswer> {
    this.#kv?.count(PrefillUse.Used);
    const { service, policy } = this.#call;
    const outputTokens = this.#generated.length;
    this.#meter.whole(policy);
    this.#ctx.outputs.observe(service.name, outputTokens);
    return answered({ finish, outputTokens });
  }

  #failed(
    place: Place,
    kv: LiveKv,
    failure: StreamFailure,
    end: { refusal?: FailureReason },
  ): AttemptEnd {
    void this.#ctx.canceller.cancel(place.client, place.ref);
    if (this.#call.signal.aborted) return { outcome: this.#stopped() };
    if (this.#generated.length >= this.#call.req.maxOutputTokens) {
      return { outcome: this.#whole(FinishReason.Length) };
    }
    this.#call.avoid.add(place.server.name);
    if (failure === StreamFailure.EngineLost) {
      this.#ctx.hosts.observeFailure(place.server.name);
    }
    const handOver = failure === StreamFailure.TransferFailed ||
      failure === StreamFailure.Refused;
    if (!handOver || !kv.alive(this.#ctx.clock.now())) this.#dropKv();
    const reason = failure === StreamFailure.Refused
      ? end.refusal ?? failure
      : failure;
    return { failed: { reason: retryable(reason) } };
  }

  /** Counts a result that no engine will fetch and frees it. */
  #dropKv(): void {
    const kv = this.#kv;
    this.#kv = undefined;
    if (!kv) return;
    kv.count(PrefillUse.Wasted);
    if (!kv.used && kv.alive(this.#ctx.clock.now())) {
      void this.#ctx.canceller.cancel(kv.client, kv.ref);
    }
  }

  /** The outcome after the caller's abort or the deadline. */
  #stopped(): Outcome<ModelAnswer> {
    return this.#honest(abortOutcome(this.#call.signal));
  }

  #giveUp(reason: FailureReason): Outcome<ModelAnswer> {
    return this.#honest(
      notRun(
        NotRunReason.BackendUnavailable,
        `no backend server could run the request (${reason})`,
        1_000,
      ),
    );
  }

  #honest<T>(outcome: Outcome<T>): Outcome<ModelAnswer> {
    return honestOutcome(outcome, this.#mayHaveRun, this.#call.signal);
  }
}

/** Refusals of a start that another attempt can mend. */
function retryable(reason: FailureReason): FailureReason {
  const cancelledElsewhere = reason === StreamFailure.Cancelled;
  return cancelledElsewhere ? StreamFailure.EngineLost : reason;
}
