/** Drives a cluster with a trace and records what each caller saw. */
import { sleep } from "@sassafrascleat/runtime";
import { expectedText } from "@sassafrascleat/testing";
import { callModel, type ModelAnswer } from "../../caller/model_caller.ts";
import type { Cluster } from "./cluster.ts";
import { apiKeyOf, BENCH_MODEL } from "./entry_worker.ts";
import { promptText } from "./prompt_text.ts";
import type { TraceRequest } from "./trace.ts";

/** How a request ended for its caller. */
export enum Ending {
  /** The whole and right answer. */
  Answered = "answered",
  /** Told that it was not run. */
  NotRun = "not_run",
  /** Told that nobody knows whether it was run. */
  Unknown = "unknown",
  /** Cut off, or answered wrongly. */
  Broken = "broken",
  /** The caller hung up. */
  Cancelled = "cancelled",
}

/** What one caller saw. Times are in milliseconds. */
export interface CallRecord {
  req: TraceRequest;
  ending: Ending;
  /** From the arrival in the trace to the first token. */
  ttftMs: number | undefined;
  gapsMs: number[];
  /** Why it was not answered. */
  reason: string;
}

/** Sends every request at its time; resolves when all have ended. */
export function drive(
  trace: readonly TraceRequest[],
  cluster: Cluster,
): Promise<CallRecord[]> {
  const startMs = performance.now();
  return Promise.all(
    trace.map(async (req, i) => {
      await sleep(startMs + req.atMs - performance.now());
      const lateMs = performance.now() - startMs - req.atMs;
      const address = cluster
        .callerAddresses[i % cluster.callerAddresses.length]!;
      return call(req, address, lateMs);
    }),
  );
}

async function call(
  req: TraceRequest,
  address: string,
  lateMs: number,
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
    return record(req, prompt, answer, lateMs);
  } catch (err) {
    const ending = controller.signal.aborted ? Ending.Cancelled : Ending.Broken;
    const reason = err instanceof Error ? err.message : String(err);
    return { req, ending, ttftMs: undefined, gapsMs: [], reason };
  } finally {
    clearTimeout(timer);
  }
}

function record(
  req: TraceRequest,
  prompt: string,
  answer: ModelAnswer,
  lateMs: number,
): CallRecord {
  const ttftMs = answer.ttftMs === undefined
    ? undefined
    : answer.ttftMs + lateMs;
  const ending = endingOf(req, prompt, answer);
  const reason = ending === Ending.Answered ? "" : `status ${answer.status}`;
  return { req, ending, ttftMs, gapsMs: answer.gapsMs, reason };
}

function endingOf(
  req: TraceRequest,
  prompt: string,
  answer: ModelAnswer,
): Ending {
  if (answer.outcome === Ending.NotRun) return Ending.NotRun;
  if (answer.outcome === Ending.Unknown) return Ending.Unknown;
  const right = answer.text === expectedText(prompt, req.maxOutputTokens);
  return answer.finished && right ? Ending.Answered : Ending.Broken;
}
