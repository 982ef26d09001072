/**
 * The known state of one backend server. Two sources report whether it is
 * leaving, that is, shutting down: its sidecar, whose report is valid for one
 * incarnation, and the host list, which lags behind. A "leaving" state from the
 * list ends when the list says "live" again, or when the sidecar's incarnation
 * changes and the new one does not report leaving.
 */
import { type BackendServer, HostState } from "@sassafrascleat/protocol";
import { jitter, type Random } from "@sassafrascleat/runtime";
import {
  FAILURE_BACKOFF_MAX_MS,
  FAILURE_BACKOFF_MS,
  FORMER_INCARNATION_LIMIT,
  LATE_REPLY_WINDOW_MS,
  LEAVING_TTL_MS,
  RETURN_PROBE_DELAY_MS,
} from "../constants.ts";

/** The state of one backend server, updated by reads of the host list and by replies. */
export class HostRecord {
  /** Consecutive reads of the list that did not contain this backend server. */
  missedRefreshes = 0;
  #server: BackendServer;
  #incarnation: string | undefined;
  readonly #formerIncarnations: string[] = [];
  #reportedLeavingAtMs: number | undefined;
  #isListedLeavingOverridden = false;
  #failures = 0;
  #excludedUntilMs = 0;

  constructor(server: BackendServer) {
    this.#server = server;
  }

  get server(): BackendServer {
    return this.#server;
  }

  /** Stores the latest entry of the host list. */
  list(server: BackendServer): void {
    if (server.state === HostState.Live) {
      this.#isListedLeavingOverridden = false;
    }
    this.#server = server;
    this.missedRefreshes = 0;
  }

  /** Records a reply of the sidecar; false if it is a delayed one of a previous incarnation. */
  observe(incarnation: string, leaving: boolean, nowMs: number): boolean {
    if (this.#formerIncarnations.includes(incarnation)) return false;
    this.#failures = 0;
    this.#excludedUntilMs = 0;
    if (incarnation !== this.#incarnation) {
      this.#replaceIncarnation(incarnation, leaving, nowMs);
    } else if (leaving) {
      this.#reportedLeavingAtMs = nowMs;
    } else if (this.#isLateReplyWindowOver(nowMs)) {
      this.#reportedLeavingAtMs = undefined;
    }
    return true;
  }

  /** Excludes the backend server for a jittered time that doubles with each failure. */
  observeFailure(nowMs: number, random: Random): void {
    if (nowMs < this.#excludedUntilMs) return;
    const backoffMs = FAILURE_BACKOFF_MS * 2 ** this.#failures;
    this.#failures += 1;
    const boundedMs = Math.min(backoffMs, FAILURE_BACKOFF_MAX_MS);
    this.#excludedUntilMs = nowMs + jitter(boundedMs, random);
  }

  /** Whether the backend server must not get new requests. */
  isLeaving(nowMs: number): boolean {
    const isListedLeaving = this.#server.state === HostState.Leaving;
    if (isListedLeaving && !this.#isListedLeavingOverridden) return true;
    if (this.#reportedLeavingAtMs === undefined) return false;
    return isListedLeaving ||
      nowMs < this.#reportedLeavingAtMs + LEAVING_TTL_MS;
  }

  /**
   * Whether the host list says live and the sidecar's last "leaving" report is
   * older than the probe delay, so that it may have been withdrawn since.
   */
  mayHaveReturned(nowMs: number): boolean {
    if (this.#server.state === HostState.Leaving) return false;
    const reportedAtMs = this.#reportedLeavingAtMs;
    return reportedAtMs !== undefined &&
      nowMs >= reportedAtMs + RETURN_PROBE_DELAY_MS;
  }

  /** Whether the last call failed and none has succeeded since. */
  get isSuspect(): boolean {
    return this.#failures > 0;
  }

  /** End of the exclusion after failures; in the past if there is none. */
  get excludedUntilMs(): number {
    return this.#excludedUntilMs;
  }

  /** The next time at which any of the state above changes without a new report. */
  nextChangeMs(nowMs: number): number {
    const times = [this.#excludedUntilMs];
    if (this.#reportedLeavingAtMs !== undefined) {
      times.push(this.#reportedLeavingAtMs + RETURN_PROBE_DELAY_MS);
      times.push(this.#reportedLeavingAtMs + LEAVING_TTL_MS);
    }
    return Math.min(...times.filter((time) => time > nowMs), Infinity);
  }

  #isLateReplyWindowOver(nowMs: number): boolean {
    const reportedAtMs = this.#reportedLeavingAtMs;
    return reportedAtMs !== undefined &&
      nowMs - reportedAtMs > LATE_REPLY_WINDOW_MS;
  }

  #replaceIncarnation(
    incarnation: string,
    leaving: boolean,
    nowMs: number,
  ): void {
    if (this.#incarnation !== undefined) {
      this.#formerIncarnations.push(this.#incarnation);
      if (this.#formerIncarnations.length > FORMER_INCARNATION_LIMIT) {
        this.#formerIncarnations.shift();
      }
      this.#isListedLeavingOverridden = !leaving &&
        this.#server.state === HostState.Leaving;
    }
    this.#incarnation = incarnation;
    this.#reportedLeavingAtMs = leaving ? nowMs : undefined;
  }
}
