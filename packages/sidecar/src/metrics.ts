/** Prometheus metrics of one sidecar. */
import { Counter, Gauge, Registry } from "prom-client";

/** Counters and gauges of one sidecar, in a separate registry. */
export class SidecarMetrics {
  readonly registry = new Registry();
  readonly reservations = this.#counter(
    "sassafrascleat_sidecar_reservations_total",
    "Replies to reservations, by result",
    "result",
  );
  readonly prefills = this.#counter(
    "sassafrascleat_sidecar_prefills_total",
    "Prefills that ended, by result",
    "result",
  );
  readonly attempts = this.#counter(
    "sassafrascleat_sidecar_attempts_total",
    "Decode attempts that ended, by result",
    "result",
  );
  readonly plainCalls = this.#counter(
    "sassafrascleat_sidecar_plain_calls_total",
    "Replies to plain calls, by state",
    "state",
  );
  readonly lapsed = this.#counter(
    "sassafrascleat_sidecar_lapsed_total",
    "Attempts cancelled by the sidecar itself, by cause",
    "cause",
  );

  /** Adds a gauge that is read when the metrics are collected. */
  gauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `sassafrascleat_sidecar_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  #counter<L extends string>(name: string, help: string, label: L): Counter<L> {
    const labelNames = [label];
    return new Counter({ name, help, labelNames, registers: [this.registry] });
  }
}
