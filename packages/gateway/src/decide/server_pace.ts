/**
 * Slow start of backend servers. One that has just started, or returns after an
 * ejection, a silence or a suspension, gets little work of this router at first
 * and more as it proves itself (`pace_limit.ts`). Once the limit no longer holds
 * back any work it is dropped, so that a sound server has none.
 *
 * Handles services of one to thousands of servers and up to a thousand routers,
 * which don't coordinate: a first request of each would be a flood. The routers
 * therefore begin one after another by their rank for the server, in numbers that
 * double in each interval.
 *
 * Pacing moves work to the other servers of the service. Unless at least half of
 * them are sound and not paced, limits aren't applied: the load of sound servers
 * at most doubles, and a lone server always gets work.
 */
import type { Clock } from "@sassafrascleat/runtime";
import { type Backend, incarnationOf } from "../backends/backend.ts";
import { CallOutcome, type HealthTracker } from "./backend_health.ts";
import { LimitChange, PaceLimit } from "./pace_limit.ts";
import { medianLatencyMs, samplePeers } from "./peer_latency.ts";
import type { RouterRanks } from "./router_ranks.ts";

/** Why a backend server is paced. */
export enum PaceReason {
  Started = "started",
  Ejected = "ejected",
  Silent = "silent",
  /** It was suspended for a change of its stage, or has changed it. */
  StageChange = "stage_change",
}

/** What has happened to a limit. */
export enum PaceEvent {
  Begun = "begun",
  Reduced = "reduced",
  /** The limit has been dropped: it no longer held back any work. */
  Ended = "ended",
}

/** One step of a limit, for logs and metrics. */
export interface PaceStep {
  event: PaceEvent;
  backend: Backend;
  reason: PaceReason;
  limit: number;
  /** Time since pacing began, in milliseconds. */
  ageMs: number;
  /** Time until this router may send the first request, in milliseconds. */
  delayMs: number;
  /** Latency in multiples of the peers'; undefined if it isn't compared. */
  latencyRatio?: number;
}

/** Options of {@link ServerPace}. */
export interface ServerPaceOptions {
  clock: Clock;
  health: HealthTracker;
  ranks: RouterRanks;
  /** Whether backend servers are paced; without, none has a limit. */
  enabled: () => boolean;
  /** Servers that accept the same work, the given one included. */
  peersOf: (backend: Backend) => readonly Backend[];
  /** Whether a server may get work apart from pacing. */
  isUsable: (key: string) => boolean;
  /** Called at each step of a limit, except for its growth. @default nothing */
  onStep?: (step: PaceStep) => void;
  /** Called when a placement passes over a server. @default nothing */
  onLimitReached?: () => void;
}

interface PacedServer {
  backend: Backend;
  reason: PaceReason;
  limit: PaceLimit;
  begunAtMs: number;
  /** When the server can be used again. */
  returnsAtMs: number;
  /** When this router may send the first request. */
  startsAtMs: number;
  /** Last result, in milliseconds of the clock. */
  resultAtMs: number;
  /** Consecutive good responses while the limit held back no work. */
  goodUnbound: number;
}

/** Whether limits are applied to a group of servers, for a short time. */
interface GroupVerdict {
  binding: boolean;
  untilMs: number;
}

/** Servers that join sooner after the first one belong to the same start. */
const SETTLE_MS = 10_000;
/** Routers that begin in the first interval. */
const FIRST_ROUTERS = 4;
/** Interval in which the number of routers that have begun doubles, in ms. */
const DOUBLING_MS = 500;
/** Good responses without holding back work after which a limit is dropped. */
const UNBOUND_RESPONSES = 8;
/** A limit without any result is dropped after this time, in milliseconds. */
const MAX_IDLE_MS = 30_000;
/** Calls over which the latency of a paced server is averaged. */
const PACED_LATENCY_WINDOW = 4;
/** Share of sound servers below which limits aren't applied. */
const MIN_SOUND_SHARE = 0.5;
/** Counting the sound servers of a large service for each pick costs too much. */
const VERDICT_TTL_MS = 20;

/** Keeps the limits of backend servers that are paced, by incarnation. */
export class ServerPace {
  readonly #options: ServerPaceOptions;
  readonly #paced = new Map<string, PacedServer>();
  /** Stages of the incarnations that have been ready. */
  readonly #seenStages = new Map<string, Backend["stage"]>();
  /** When the first server of a service was seen. */
  readonly #knownSinceMs = new Map<string, number>();
  readonly #verdicts = new Map<string, GroupVerdict>();

  constructor(options: ServerPaceOptions) {
    this.#options = options;
  }

  /** Whether backend servers are paced. */
  get enabled(): boolean {
    return this.#options.enabled();
  }

  /** Number of backend servers that are paced. */
  get count(): number {
    return this.enabled ? this.#paced.size : 0;
  }

  /** The limit of a backend server; undefined if it has none. */
  limitOf(key: string): number | undefined {
    return this.#paced.get(key)?.limit.value;
  }

  /** Notes that the store lists a backend server as ready. */
  observeReady(backend: Backend): void {
    const key = incarnationOf(backend);
    const nowMs = this.#options.clock.now();
    const known = this.#seenStages.has(key);
    const stageBefore = this.#seenStages.get(key);
    this.#seenStages.set(key, backend.stage);
    const knownSinceMs = this.#knownSinceMs.get(backend.service) ?? nowMs;
    this.#knownSinceMs.set(backend.service, knownSinceMs);
    if (known && stageBefore === backend.stage) return this.resume(key);
    if (known) return this.begin(backend, PaceReason.StageChange);
    if (nowMs - knownSinceMs >= SETTLE_MS) {
      this.begin(backend, PaceReason.Started);
    }
  }

  /**
   * Starts the limit of a backend server anew, which gets no work before
   * `returnsAtMs` of the clock. @default now
   */
  begin(backend: Backend, reason: PaceReason, returnsAtMs?: number): void {
    const { clock } = this.#options;
    const key = incarnationOf(backend);
    // Calls to a server that has been removed may fail afterwards.
    if (!this.enabled || !this.#seenStages.has(key)) return;
    const nowMs = clock.now();
    const before = this.#paced.get(key);
    const returns = Math.max(nowMs, returnsAtMs ?? nowMs);
    // Several failed calls report the same ejection or silence.
    const isKnown = before?.reason === reason && before.returnsAtMs > nowMs;
    const isReport = returnsAtMs !== undefined;
    if (isReport && isKnown && returns <= before.returnsAtMs) return;
    const absenceMs = isReport ? returns - nowMs : Infinity;
    const server: PacedServer = {
      backend,
      reason,
      limit: new PaceLimit(),
      begunAtMs: nowMs,
      returnsAtMs: returns,
      startsAtMs: returns + this.#delayMs(key, absenceMs),
      resultAtMs: nowMs,
      goodUnbound: 0,
    };
    this.#paced.set(key, server);
    this.#verdicts.clear();
    this.#report(PaceEvent.Begun, server);
  }

  /** Notes that a silent or suspended backend server can be used again. */
  resume(key: string): void {
    const server = this.#paced.get(key);
    const nowMs = this.#options.clock.now();
    if (!server || server.returnsAtMs <= nowMs) return;
    if (server.reason === PaceReason.Ejected) return;
    server.returnsAtMs = nowMs;
    const absenceMs = nowMs - server.begunAtMs;
    server.startsAtMs = nowMs + this.#delayMs(key, absenceMs);
  }

  /**
   * Whether a backend server may get another request beside the `inProgress`
   * ones of this router.
   */
  allows(backend: Backend, inProgress: number): boolean {
    const { clock, onLimitReached } = this.#options;
    const key = incarnationOf(backend);
    const server = this.#paced.get(key);
    if (!server || !this.enabled) return true;
    const nowMs = clock.now();
    if (this.#isIdle(server, nowMs)) {
      this.#end(key, server);
      return true;
    }
    const started = nowMs >= server.startsAtMs;
    if (started && inProgress < server.limit.value) return true;
    if (!this.#isBinding(backend, nowMs)) return true;
    server.goodUnbound = 0;
    onLimitReached?.();
    return false;
  }

  /**
   * Number of calls over which the latency of a server is averaged, few while it
   * is paced: it changes quickly then. `Infinity` for a latency that shows
   * nothing of the server. @default that of the health tracker
   */
  latencyWindow(backend: Backend, latencyMs: number): number | undefined {
    if (!this.enabled) return undefined;
    if (latencyMs <= 0) return Infinity;
    const server = this.#paced.get(incarnationOf(backend));
    if (!server) return undefined;
    return this.#isOutdated(server, latencyMs)
      ? Infinity
      : PACED_LATENCY_WINDOW;
  }

  /**
   * Records the result of a call, after the health tracker has recorded it.
   * `latencyMs` is 0 if it can't be compared with the peers' latencies.
   */
  record(backend: Backend, outcome: CallOutcome, latencyMs: number): void {
    const key = incarnationOf(backend);
    const server = this.#paced.get(key);
    if (!server || !this.enabled) return;
    const nowMs = this.#options.clock.now();
    if (this.#isOutdated(server, latencyMs)) return;
    server.resultAtMs = nowMs;
    const change = outcome === CallOutcome.Good
      ? server.limit.recordGood(nowMs, latencyMs, this.#latencyRatio(backend))
      : server.limit.reduce(nowMs, latencyMs);
    if (change !== LimitChange.Raised) server.goodUnbound = 0;
    else server.goodUnbound += 1;
    if (change === LimitChange.Reduced) this.#report(PaceEvent.Reduced, server);
    if (server.goodUnbound >= UNBOUND_RESPONSES) this.#end(key, server);
  }

  /** Deletes the state of an incarnation that has been removed. */
  forget(key: string): void {
    this.#seenStages.delete(key);
    this.#paced.delete(key);
    this.#verdicts.clear();
  }

  /**
   * Time after a server's return at which this router may use it: no longer than
   * its absence, since one that stood still for a moment has lost nothing.
   */
  #delayMs(key: string, absenceMs: number): number {
    const { ranks } = this.#options;
    const intervals = ranks.rankFor(key) / FIRST_ROUTERS;
    const doublings = intervals < 1 ? intervals : 1 + Math.log2(intervals);
    return Math.min(absenceMs, DOUBLING_MS * doublings);
  }

  #isIdle(server: PacedServer, nowMs: number): boolean {
    return nowMs - Math.max(server.resultAtMs, server.startsAtMs) > MAX_IDLE_MS;
  }

  /** Whether enough other servers are sound to take the work instead. */
  #isBinding(backend: Backend, nowMs: number): boolean {
    const group = `${backend.service}/${backend.stage ?? ""}`;
    const known = this.#verdicts.get(group);
    if (known && nowMs < known.untilMs) return known.binding;
    const { isUsable, peersOf } = this.#options;
    const peers = samplePeers(peersOf(backend)).map(incarnationOf);
    const sound = peers.filter((key) => !this.#paced.has(key) && isUsable(key));
    const binding = sound.length >= Math.max(1, peers.length * MIN_SOUND_SHARE);
    this.#verdicts.set(group, { binding, untilMs: nowMs + VERDICT_TTL_MS });
    return binding;
  }

  /** Whether a call was sent before the server was lost. */
  #isOutdated({ begunAtMs }: PacedServer, latencyMs: number): boolean {
    return latencyMs > 0 && this.#options.clock.now() - latencyMs < begunAtMs;
  }

  /** Latency in multiples of the peers'; undefined if it can't be compared. */
  #latencyRatio(backend: Backend): number | undefined {
    const { health, peersOf } = this.#options;
    const own = incarnationOf(backend);
    const keys = samplePeers(peersOf(backend)).map(incarnationOf);
    const peers = keys.filter((key) => key !== own);
    const peerMs = medianLatencyMs(health, peers);
    const { latencyMs } = health.recordOf(own);
    return peerMs && latencyMs > 0 ? latencyMs / peerMs : undefined;
  }

  #end(key: string, server: PacedServer): void {
    this.#paced.delete(key);
    this.#verdicts.clear();
    this.#report(PaceEvent.Ended, server);
  }

  #report(event: PaceEvent, server: PacedServer): void {
    const nowMs = this.#options.clock.now();
    this.#options.onStep?.({
      event,
      backend: server.backend,
      reason: server.reason,
      limit: server.limit.value,
      ageMs: nowMs - server.begunAtMs,
      delayMs: Math.max(0, server.startsAtMs - nowMs),
      latencyRatio: server.limit.ratio,
    });
  }
}
