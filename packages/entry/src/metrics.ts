/** The Prometheus metrics of an entry, in a separate registry. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.57,
  0.8,
  1.2,
  2,
  4,
  8,
  16,
];

const TOKEN_GAP_BUCKETS_S = [
  0.005,
  0.01,
  0.02,
  0.03,
  0.043,
  0.06,
  0.1,
  0.25,
  1,
  4,
];

/** Whether the result of a prefill was used. */
export enum PrefillUse {
  Used = "used",
  Wasted = "wasted",
}

/** Creates the metrics of one entry. */
export function createEntryMetrics() {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "sassafrascleat_requests_total",
      help: "Requests ended, by service, outcome and reason.",
      labelNames: ["service", "outcome", "reason"] as const,
      registers,
    }),
    inFlight: new Gauge({
      name: "sassafrascleat_requests_in_flight",
      help: "Requests in progress, by service.",
      labelNames: ["service"] as const,
      registers,
    }),
    queued: new Gauge({
      name: "sassafrascleat_queue_length",
      help: "Requests that wait to be placed, by service.",
      labelNames: ["service"] as const,
      registers,
    }),
    queueSeconds: new Histogram({
      name: "sassafrascleat_queue_seconds",
      help: "Time from arrival to a granted place, in seconds.",
      labelNames: ["service"] as const,
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    ttftSeconds: new Histogram({
      name: "sassafrascleat_time_to_first_token_seconds",
      help: "Time from arrival to the first token, in seconds.",
      labelNames: ["service"] as const,
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    tbtSeconds: new Histogram({
      name: "sassafrascleat_time_between_tokens_seconds",
      help: "Time between tokens of one answer, in seconds.",
      labelNames: ["service"] as const,
      buckets: TOKEN_GAP_BUCKETS_S,
      registers,
    }),
    goodput: new Counter({
      name: "sassafrascleat_requests_within_targets_total",
      help: "Requests answered within both latency targets, by service.",
      labelNames: ["service"] as const,
      registers,
    }),
    retries: new Counter({
      name: "sassafrascleat_retries_total",
      help: "Further attempts, by service and failure.",
      labelNames: ["service", "failure"] as const,
      registers,
    }),
    streamReconnects: new Counter({
      name: "sassafrascleat_stream_redials_total",
      help: "Streams continued on a new connection.",
      registers,
    }),
    droppedFrames: new Counter({
      name: "sassafrascleat_frames_dropped_total",
      help: "Frames of another attempt or at a wrong offset.",
      registers,
    }),
    prefillTokens: new Counter({
      name: "sassafrascleat_prefill_tokens_total",
      help: "Prompt tokens that were prefilled, by service and use.",
      labelNames: ["service", "use"] as const,
      registers,
    }),
    claimWrites: new Counter({
      name: "sassafrascleat_claim_store_writes_total",
      help: "Writes of idempotency claims to the store, by result.",
      labelNames: ["result"] as const,
      registers,
    }),
    claims: new Counter({
      name: "sassafrascleat_claims_total",
      help: "Idempotency claims, by result.",
      labelNames: ["result"] as const,
      registers,
    }),
  };
}

/** The metrics of one entry. */
export type EntryMetrics = ReturnType<typeof createEntryMetrics>;
