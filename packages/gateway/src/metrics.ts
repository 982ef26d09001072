/** Counters and latency histograms of one gateway. */
import { getHeapStatistics } from "node:v8";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_S = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.15,
  0.2,
  0.3,
  0.45,
  0.6,
  0.9,
  1.5,
  3,
  6,
  14,
];

/** What the gateway holds for its peers when the metrics are read. */
export interface HeldMemory {
  /** Bodies, responses and output that isn't read, in bytes. */
  peerBytes: () => number;
  /** Heap for the requests without a response, in bytes. */
  requestBytes: () => number;
  /** Backend servers in slow start. */
  pacedServers: () => number;
  /** Input of callers that waits to be processed, in bytes. */
  inputBytes: () => number;
}

/** Creates the metrics in a separate registry. */
export function createGatewayMetrics(held: HeldMemory) {
  const registry = new Registry();
  const registers = [registry];
  registerMemoryGauges(registry, held);
  return {
    registry,
    requests: new Counter({
      name: "sassafrascleat_gateway_requests_total",
      help: "Requests by route kind, end and reason.",
      labelNames: ["kind", "end", "reason"],
      registers,
    }),
    firstByte: new Histogram({
      name: "sassafrascleat_gateway_first_byte_seconds",
      help: "Time to the answer, or to the first event of a stream.",
      labelNames: ["kind"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    reservationWait: new Histogram({
      name: "sassafrascleat_gateway_room_wait_seconds",
      help: "Wait for memory of a decode engine.",
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    prefill: new Histogram({
      name: "sassafrascleat_gateway_prefill_seconds",
      help: "Time that prefill calls took.",
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    holds: new Counter({
      name: "sassafrascleat_gateway_holds_total",
      help: "Reservations asked of engines, by result.",
      labelNames: ["result"],
      registers,
    }),
    urgentReserve: new Gauge({
      name: "sassafrascleat_gateway_urgent_reserve_tokens",
      help: "Decode memory that the least urgent requests leave to others.",
      labelNames: ["service"],
      registers,
    }),
    prefillsWasted: new Counter({
      name: "sassafrascleat_gateway_prefills_wasted_total",
      help: "Prompts that were read and whose result was not used.",
      registers,
    }),
    repeats: new Counter({
      name: "sassafrascleat_gateway_repeats_total",
      help: "Calls beyond the first of a request, by cause.",
      labelNames: ["cause"],
      registers,
    }),
    slowReaders: new Counter({
      name: "sassafrascleat_gateway_slow_readers_total",
      help: "Streams ended because the caller did not read them, by cause.",
      labelNames: ["cause"],
      registers,
    }),
    quotaCost: new Counter({
      name: "sassafrascleat_gateway_quota_cost_total",
      help: "Cost of requests of customers with a quota, by result.",
      labelNames: ["result"],
      registers,
    }),
    ejections: new Counter({
      name: "sassafrascleat_gateway_ejections_total",
      help: "Backend servers that were given no work for a while.",
      registers,
    }),
    paceLimitReached: new Counter({
      name: "sassafrascleat_gateway_pace_limit_reached_total",
      help: "Times that a placement passed over a server in slow start.",
      registers,
    }),
    inProgress: new Gauge({
      name: "sassafrascleat_gateway_requests_in_progress",
      help: "Requests that are not answered yet.",
      registers,
    }),
    connections: new Gauge({
      name: "sassafrascleat_gateway_upstream_connections_opened",
      help: "Connections opened to backend servers.",
      registers,
    }),
    configVersion: new Gauge({
      name: "sassafrascleat_gateway_config_version",
      help: "Version of the configuration in force.",
      registers,
    }),
    customers: new Gauge({
      name: "sassafrascleat_gateway_customers",
      help: "Customers of the configuration in force.",
      registers,
    }),
    inputRejections: new Counter({
      name: "sassafrascleat_gateway_input_rejections_total",
      help: "Input of callers that was rejected before it was parsed.",
      labelNames: ["reason"],
      registers,
    }),
    connectionsClosed: new Counter({
      name: "sassafrascleat_gateway_connections_closed_total",
      help: "Connections of callers closed because there were too many.",
      labelNames: ["closed"],
      registers,
    }),
    unexpectedErrors: new Counter({
      name: "sassafrascleat_gateway_unexpected_errors_total",
      help: "Exceptions that nothing handled.",
      registers,
    }),
    logSuppressed: new Gauge({
      name: "sassafrascleat_gateway_log_lines_suppressed",
      help: "Log lines left out to bound their volume.",
      registers,
    }),
  };
}

/** Gauges that are read when they are collected. */
function registerMemoryGauges(registry: Registry, held: HeldMemory): void {
  const add = (name: string, help: string, read: () => number) =>
    new Gauge({
      name: `sassafrascleat_gateway_${name}`,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  add(
    "heap_used_bytes",
    "Heap in use, what isn't collected yet included.",
    () => getHeapStatistics().used_heap_size,
  );
  add(
    "heap_limit_bytes",
    "Size of the heap at which the process is aborted.",
    () => getHeapStatistics().heap_size_limit,
  );
  add(
    "resident_bytes",
    "Memory of the process, which the host limits.",
    () => process.memoryUsage.rss(),
  );
  add(
    "peer_bytes",
    "Bodies, responses and unread output that are held.",
    held.peerBytes,
  );
  add(
    "request_heap_bytes",
    "Estimated heap for the requests without a response.",
    held.requestBytes,
  );
  add(
    "paced_servers",
    "Backend servers whose work is limited after a start or a return.",
    held.pacedServers,
  );
  add(
    "caller_input_bytes",
    "Input of callers that waits to be processed.",
    held.inputBytes,
  );
}

export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;
