/**
 * Answers the pulls of other daemons from the replica. Every daemon does so,
 * not only a head: it replies with its active configuration and the time since
 * the store last confirmed it.
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

/** Dependencies of a pull server. */
export interface PullServerDependencies {
  replica: ConfigReplica;
  freshness: Freshness;
  members: Members;
  clock: Clock;
}

/** Handles the relay calls to one daemon. */
export class PullServer implements RelayControl {
  readonly #dependencies: PullServerDependencies;
  readonly #waiters = new Set<() => void>();

  constructor(dependencies: PullServerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Ends waiting long polls on every change and when `signal` aborts. */
  start(signal: AbortSignal): void {
    this.#dependencies.replica.onChange(() => this.#wakeAll(), signal);
    signal.addEventListener("abort", () => this.#wakeAll(), { once: true });
  }

  async pull(req: PullRequest): Promise<PullReply> {
    const { clock, replica, members } = this.#dependencies;
    members.record(req);
    const hasNewChanges = replica.sequence > req.afterSequence;
    const startedAtMs = clock.now();
    if (!hasNewChanges && this.#waiters.size < WAITING_PULL_LIMIT) {
      await this.#waitForChange(Math.min(req.waitMs, PULL_WAIT_LIMIT_MS));
    }
    const waitedMs = Math.floor(clock.now() - startedAtMs);
    return this.#reply(req.afterSequence, waitedMs);
  }

  #reply(afterSequence: number, waitedMs: number): PullReply {
    const { replica, freshness } = this.#dependencies;
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

  #waitForChange(waitMs: number): Promise<void> {
    if (waitMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      this.#waiters.add(done);
    });
  }

  #wakeAll(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}
