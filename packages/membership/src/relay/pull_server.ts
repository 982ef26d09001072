/**
 * Answers the pulls of other daemons from the replica. Serving needs no role:
 * every daemon answers with what it has in force, and says how old that is.
 */
import type { ConfigReplica } from "@sassafrascleat/config";
import type {
  PullReply,
  PullRequest,
  RelayControl,
} from "@sassafrascleat/protocol";
import type { Clock } from "@sassafrascleat/runtime";
import {
  PULL_CHANGE_LIMIT,
  PULL_WAIT_LIMIT_MS,
  WAITING_PULL_LIMIT,
} from "../constants.ts";
import type { Freshness } from "./freshness.ts";
import type { Members } from "./members.ts";

/** What the pull server works on. */
export interface PullServerParts {
  replica: ConfigReplica;
  freshness: Freshness;
  members: Members;
  clock: Clock;
}

/** The relay calls of one daemon. */
export class PullServer implements RelayControl {
  readonly #parts: PullServerParts;
  readonly #waiting = new Set<() => void>();

  constructor(parts: PullServerParts) {
    this.#parts = parts;
  }

  /** Wakes waiting pulls on every change until `signal` aborts. */
  start(signal: AbortSignal): void {
    this.#parts.replica.onChange(() => this.#wakeAll(), signal);
    signal.addEventListener("abort", () => this.#wakeAll(), { once: true });
  }

  async pull(req: PullRequest): Promise<PullReply> {
    const { clock, replica, members } = this.#parts;
    members.record(req);
    const hasNews = replica.sequence > req.afterSequence;
    const startedAtMs = clock.now();
    if (!hasNews && this.#waiting.size < WAITING_PULL_LIMIT) {
      await this.#waitForNews(Math.min(req.waitMs, PULL_WAIT_LIMIT_MS));
    }
    const waitedMs = Math.floor(clock.now() - startedAtMs);
    return this.#reply(req.afterSequence, waitedMs);
  }

  #reply(afterSequence: number, waitedMs: number): PullReply {
    const { replica, freshness } = this.#parts;
    const age = freshness.ageMs();
    const { sequence } = replica;
    const reply: PullReply = { sequence, waitedMs, changes: [] };
    if (age !== undefined) reply.confirmedAgeMs = Math.ceil(age);
    if (replica.sequence <= afterSequence) return reply;
    const changes = replica.changesAfter(afterSequence, PULL_CHANGE_LIMIT);
    if (!changes) {
      const document = replica.snapshot();
      return { ...reply, snapshot: { sequence: document.sequence, document } };
    }
    reply.changes = changes.map((change) => ({
      sequence: change.sequence,
      document: change,
    }));
    return reply;
  }

  #waitForNews(waitMs: number): Promise<void> {
    if (waitMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiting.add(done);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}
