/** Daemons that reported their sequence to this one lately. */
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
  /** The daemon itself called here. */
  direct: boolean;
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
    for (const report of req.reports) this.#put(report, false);
    const { daemonId, office, availabilityZone, address } = req;
    const sequence = req.afterSequence;
    const place = { daemonId, office, availabilityZone, address };
    this.#put({ ...place, sequence, ageMs: 0 }, true);
  }

  /** Everyone heard from within the time to live, with the age of each report. */
  recent(): SequenceReport[] {
    return this.#select(() => true);
  }

  /**
   * Daemons that called here, for this daemon's own pulls. What others told is
   * left out: reports that travel on from daemon to daemon would go in circles
   * and grow just when many pulls are lost.
   */
  callers(): SequenceReport[] {
    return this.#select((member) => member.direct)
      .slice(0, FORWARDED_REPORT_LIMIT);
  }

  #select(isWanted: (member: Member) => boolean): SequenceReport[] {
    const nowMs = this.#clock.now();
    const reports: SequenceReport[] = [];
    for (const [id, member] of this.#byId) {
      const ageMs = nowMs - member.atMs;
      if (ageMs > MEMBER_TTL_MS) this.#byId.delete(id);
      else if (isWanted(member)) {
        reports.push({ ...member.report, ageMs: Math.round(ageMs) });
      }
    }
    return reports;
  }

  #put(report: SequenceReport, direct: boolean): void {
    const known = this.#byId.get(report.daemonId);
    if (!known && this.#byId.size >= MEMBER_LIMIT) return;
    const atMs = this.#clock.now() - report.ageMs;
    if (known && known.atMs > atMs) return;
    this.#byId.set(report.daemonId, { report, atMs, direct });
  }
}
