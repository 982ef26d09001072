/** Records which daemons recently reported their sequence to this one. */
import type { PullRequest, SequenceReport } from "@sassafrascleat/protocol";
import type { Clock } from "@sassafrascleat/runtime";
import {
  FORWARDED_REPORT_LIMIT,
  MEMBER_LIMIT,
  MEMBER_TTL_MS,
} from "../constants.ts";

interface Member {
  report: SequenceReport;
  atMs: number;
  /** Whether the daemon itself called this one, rather than being reported by a caller. */
  direct: boolean;
}

/** The latest report of each daemon; reports expire. */
export class Members {
  readonly #clock: Clock;
  readonly #byId = new Map<string, Member>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the caller of a pull and the reports that it forwards. */
  record(req: PullRequest): void {
    for (const report of req.reports) this.#recordReport(report, false);
    const { daemonId, office, availabilityZone, address } = req;
    const sequence = req.afterSequence;
    const location = { daemonId, office, availabilityZone, address };
    this.#recordReport({ ...location, sequence, ageMs: 0 }, true);
  }

  /** All reports that have not expired, with their ages. */
  recent(): SequenceReport[] {
    return this.#select(() => true);
  }

  /**
   * Reports of daemons that called this one, to be forwarded in its pulls.
   * Reports that were themselves forwarded are not included: they would loop
   * between daemons, and their number would grow just when many pulls are lost.
   */
  callers(): SequenceReport[] {
    return this.#select((member) => member.direct)
      .slice(0, FORWARDED_REPORT_LIMIT);
  }

  #select(matches: (member: Member) => boolean): SequenceReport[] {
    const nowMs = this.#clock.now();
    const reports: SequenceReport[] = [];
    for (const [id, member] of this.#byId) {
      const ageMs = nowMs - member.atMs;
      if (ageMs > MEMBER_TTL_MS) this.#byId.delete(id);
      else if (matches(member)) {
        reports.push({ ...member.report, ageMs: Math.round(ageMs) });
      }
    }
    return reports;
  }

  #recordReport(report: SequenceReport, direct: boolean): void {
    const known = this.#byId.get(report.daemonId);
    if (!known && this.#byId.size >= MEMBER_LIMIT) return;
    const atMs = this.#clock.now() - report.ageMs;
    if (known && known.atMs > atMs) return;
    this.#byId.set(report.daemonId, { report, atMs, direct });
  }
}
