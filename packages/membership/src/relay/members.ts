/** Daemons that reported their sequence to this one lately. */
import type { PullRequest, SequenceReport } from "@sassafrascleat/protocol";
import type { Clock } from "@sassafrascleat/runtime";
import { MEMBER_LIMIT, MEMBER_TTL_MS } from "../constants.ts";

interface Member {
  report: SequenceReport;
  atMs: number;
}

/** Reports by daemon; old ones are left out. */
export class Members {
  readonly #clock: Clock;
  readonly #byId = new Map<string, Member>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the caller of a pull and those that report through it. */
  record(req: PullRequest): void {
    for (const report of req.reports) this.#put(report);
    const { daemonId, office, availabilityZone, address } = req;
    const sequence = req.afterSequence;
    this.#put(
      { daemonId, office, availabilityZone, address, sequence, ageMs: 0 },
    );
  }

  /** Everyone heard from within the time to live, with the age of each report. */
  recent(): SequenceReport[] {
    const nowMs = this.#clock.now();
    const reports: SequenceReport[] = [];
    for (const [id, { report, atMs }] of this.#byId) {
      const ageMs = nowMs - atMs;
      if (ageMs > MEMBER_TTL_MS) this.#byId.delete(id);
      else reports.push({ ...report, ageMs: Math.round(ageMs) });
    }
    return reports;
  }

  #put(report: SequenceReport): void {
    const known = this.#byId.get(report.daemonId);
    if (!known && this.#byId.size >= MEMBER_LIMIT) return;
    const atMs = this.#clock.now() - report.ageMs;
    if (known && known.atMs > atMs) return;
    this.#byId.set(report.daemonId, { report, atMs });
  }
}
