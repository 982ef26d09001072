/**
 * What is believed about one backend server. Two sources tell whether it
 * leaves: its sidecar, whose word holds for one incarnation, and the host
 * list, which lags. The list's "leaving" ends with the list's "live" or with a
 * sidecar incarnation that began after the notice and does not leave.
 */
import { type BackendServer, HostState } from "@sassafrascleat/protocol";
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  FAILURE_BACKOFF_MAX_MS,
  FAILURE_BACKOFF_MS,
  FORMER_INCARNATIONS,
  LATE_REPLY_MS,
  LEAVING_MEMORY_MS,
  RETURN_PROBE_MS,
} from "../constants.ts";

/** The state of one backend server, moved by readings and replies. */
export class HostRecord {
  /** Readings of the list in a row that did not name it. */
  missedRefreshes = 0;
  #server: BackendServer;
  #incarnation: string | undefined;
  readonly #former: string[] = [];
  #saidLeavingAtMs: number | undefined;
  #listVoided = false;
  #failures = 0;
  #excludedUntilMs = 0;

  constructor(server: BackendServer) {
    this.#server = server;
  }

  get server(): BackendServer {
    return this.#server;
  }

  /** Takes over the list's latest entry. */
  list(server: BackendServer): void {
    if (server.state === HostState.Live) this.#listVoided = false;
    this.#server = server;
    this.missedRefreshes = 0;
  }

  /** Takes over what the sidecar said; false for a late reply of a former one. */
  observe(incarnation: string, leaving: boolean, nowMs: number): boolean {
    if (this.#former.includes(incarnation)) return false;
    this.#failures = 0;
    this.#excludedUntilMs = 0;
    if (incarnation !== this.#incarnation) {
      this.#replaceIncarnation(incarnation, leaving, nowMs);
    } else if (leaving) {
      this.#saidLeavingAtMs = nowMs;
    } else if (this.#isPastLateReplies(nowMs)) {
      this.#saidLeavingAtMs = undefined;
    }
    return true;
  }

  /** Excludes the backend server for a time that doubles with each failure. */
  observeFailure(nowMs: number, random: Random): void {
    if (nowMs < this.#excludedUntilMs) return;
    const backoffMs = FAILURE_BACKOFF_MS * 2 ** this.#failures;
    this.#failures += 1;
    const boundedMs = Math.min(backoffMs, FAILURE_BACKOFF_MAX_MS);
    this.#excludedUntilMs = nowMs + jitter(boundedMs, random);
  }

  /** Whether it must not get new work. */
  isLeaving(nowMs: number): boolean {
    const listed = this.#server.state === HostState.Leaving;
    if (listed && !this.#listVoided) return true;
    if (this.#saidLeavingAtMs === undefined) return false;
    return listed || nowMs < this.#saidLeavingAtMs + LEAVING_MEMORY_MS;
  }

  /**
   * Whether its sidecar said some time ago that it leaves and the list says
   * live: the notice may have been taken back.
   */
  mayHaveReturned(nowMs: number): boolean {
    if (this.#server.state === HostState.Leaving) return false;
    const said = this.#saidLeavingAtMs;
    return said !== undefined && nowMs >= said + RETURN_PROBE_MS;
  }

  /** Whether the last call failed and none has succeeded since. */
  get isSuspect(): boolean {
    return this.#failures > 0;
  }

  /** End of the exclusion after failures; in the past when there is none. */
  get excludedUntilMs(): number {
    return this.#excludedUntilMs;
  }

  /** The next time at which the answers above change without a new message. */
  nextChangeMs(nowMs: number): number {
    const times = [this.#excludedUntilMs];
    if (this.#saidLeavingAtMs !== undefined) {
      times.push(this.#saidLeavingAtMs + RETURN_PROBE_MS);
      times.push(this.#saidLeavingAtMs + LEAVING_MEMORY_MS);
    }
    return Math.min(...times.filter((time) => time > nowMs), Infinity);
  }

  #isPastLateReplies(nowMs: number): boolean {
    const said = this.#saidLeavingAtMs;
    return said !== undefined && nowMs - said > LATE_REPLY_MS;
  }

  #replaceIncarnation(
    incarnation: string,
    leaving: boolean,
    nowMs: number,
  ): void {
    if (this.#incarnation !== undefined) {
      this.#former.push(this.#incarnation);
      if (this.#former.length > FORMER_INCARNATIONS) this.#former.shift();
      this.#listVoided = !leaving && this.#server.state === HostState.Leaving;
    }
    this.#incarnation = incarnation;
    this.#saidLeavingAtMs = leaving ? nowMs : undefined;
  }
}
