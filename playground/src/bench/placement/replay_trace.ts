/**
 * Replays a trace against a cluster and records the outcome of each request.
 */
import { sleep } from "@sassafrascleat/runtime";
import { expectedText } from "@sassafrascleat/testing";
import { callModel, type ModelAnswer } from "../../caller/model_caller.ts";
import type { Cluster } from "./cluster.ts";
import { apiKeyOf, BENCH_MODEL } from "./entry_worker.ts";
import { promptText } from "./prompt_text.ts";
import type { TraceRequest } from "./trace.ts";

/** Outcome of a request as its caller observed it. */
export enum CallOutcome {
  /** The answer was complete and correct. */
  Answered = "answered",
  /** The entry reported that the request was not executed. */
  NotRun = "not_run",
  /** The entry reported that it is unknown whether the request was executed. */
  Unknown = "unknown",
  /** The answer was truncated or incorrect. */
  Broken = "broken",
  /** The caller closed the connection. */
  Cancelled = "cancelled",
}

/** Result of one request. Times are in milliseconds. */
export interface CallRecord {
  req: TraceRequest;
  outcome: CallOutcome;
  /** Time from the arrival in the trace to the first token. */
  ttftMs: number | undefined;
  gapsMs: number[];
  /** Why the request was not answered; empty if it was. */
  reason: string;
}

/** Sends every request at its arrival time; resolves when all have ended. */
export function replayTrace(
  trace: readonly TraceRequest[],
  cluster: Cluster,
): Promise<CallRecord[]> {
  const startMs = performance.now();
  return Promise.all(
    trace.map(async (req, i) => {
      await sleep(startMs + req.atMs - performance.now());
      const sendDelayMs = performance.now() - startMs - req.atMs;
      const address = cluster
        .callerAddresses[i % cluster.callerAddresses.length]!;
      return sendRequest(req, address, sendDelayMs);
    }),
  );
}

async function sendRequest(
  req: TraceRequest,
  address: string,
  sendDelayMs: number,
): Promise<CallRecord> {
  const controller = new AbortController();
  const timer = req.cancelAfterMs === undefined
    ? undefined
    : setTimeout(() => controller.abort(), req.cancelAfterMs);
  const prompt = promptText(req);
  try {
    const answer = await callModel({
      address,
      model: BENCH_MODEL,
      prompt,
      maxTokens: req.maxOutputTokens,
      stream: true,
      headers: {
        authorization: `Bearer ${apiKeyOf(req.customer)}`,
        "x-request-class": req.requestClass,
      },
      signal: controller.signal,
    });
    return toCallRecord(req, prompt, answer, sendDelayMs);
  } catch (err) {
    const outcome = controller.signal.aborted
      ? CallOutcome.Cancelled
      : CallOutcome.Broken;
    const reason = err instanceof Error ? err.message : String(err);
    return { req, outcome, ttftMs: undefined, gapsMs: [], reason };
  } finally {
    clearTimeout(timer);
  }
}

function toCallRecord(
  req: TraceRequest,
  prompt: string,
  answer: ModelAnswer,
  sendDelayMs: number,
): CallRecord {
  const ttftMs = answer.ttftMs === undefined
    ? undefined
    : answer.ttftMs + sendDelayMs;
  const outcome = outcomeOf(req, prompt, answer);
  const reason = outcome === CallOutcome.Answered
    ? ""
    : `status ${answer.status}`;
  return { req, outcome, ttftMs, gapsMs: answer.gapsMs, reason };
}

function outcomeOf(
  req: TraceRequest,
  prompt: string,
  answer: ModelAnswer,
): CallOutcome {
  if (answer.outcome === CallOutcome.NotRun) return CallOutcome.NotRun;
  if (answer.outcome === CallOutcome.Unknown) return CallOutcome.Unknown;
  const correct = answer.text === expectedText(prompt, req.maxOutputTokens);
  return answer.finished && correct ? CallOutcome.Answered : CallOutcome.Broken;
}
