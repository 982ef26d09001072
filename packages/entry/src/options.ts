/** Options of an entry, resolved once at start. */
import type { ConfigView, Policy } from "@sassafrascleat/config";
import type { HostView } from "@sassafrascleat/membership";
import {
  createPlacementPolicy,
  type PlacementPolicy,
  PolicyName,
} from "@sassafrascleat/routing";
import {
  type Clock,
  createRandom,
  type Random,
  type Secret,
  systemClock,
} from "@sassafrascleat/runtime";
import type { ObjectStore } from "@sassafrascleat/store";
import { randomInt } from "node:crypto";
import { CALLER_STALL_MS, LAME_DUCK_MS, MAX_BODY_BYTES } from "./constants.ts";

/** Makes the placement policy that a routing policy asks for. */
export type PlacementFactory = (policy: Policy) => PlacementPolicy;

/** Options of an entry. */
export interface EntryOptions {
  /** Unique name of this entry process; a restarted one has a new name. */
  entryId: string;
  office: string;
  availabilityZone: string;
  /** Address of the callers' listener. @default "127.0.0.1" */
  host?: string;
  /** Port of the callers' listener; 0 takes a free one. @default 0 */
  port?: number;
  /** Secret of outgoing calls to sidecars. */
  secret: Secret;
  config: ConfigView;
  hosts: HostView;
  /** Holds the claims of callers' idempotency keys, and nothing else. */
  store: ObjectStore;
  /** One policy for all services, or a factory by routing policy. @default just in time by the policy's objective */
  placement?: PlacementPolicy | PlacementFactory;
  /** @default the process clock */
  clock?: Clock;
  /** Milliseconds since the epoch, for the age of claims. @default the system's */
  wallClock?: Clock;
  /** Source of jitter. @default seeded from the system */
  random?: Random;
  /** Largest body of a caller's request, in bytes. @default 2097152 */
  maxBodyBytes?: number;
  /** Time that a caller may leave its stream unread, in milliseconds. @default 20000 */
  callerStallMs?: number;
  /** Time after a drain begins in which new requests are still taken, in milliseconds. @default 1000 */
  lameDuckMs?: number;
}

/** Options with every field. */
export interface ResolvedEntryOptions extends Required<EntryOptions> {
  placement: PlacementFactory;
}

/** Fills in the defaults. */
export function resolveEntryOptions(raw: EntryOptions): ResolvedEntryOptions {
  return {
    ...raw,
    placement: resolvePlacement(raw.placement),
    host: raw.host ?? "127.0.0.1",
    port: raw.port ?? 0,
    clock: raw.clock ?? systemClock,
    wallClock: raw.wallClock ?? { now: Date.now },
    random: raw.random ?? createRandom(randomInt(2 ** 31)),
    maxBodyBytes: raw.maxBodyBytes ?? MAX_BODY_BYTES,
    callerStallMs: raw.callerStallMs ?? CALLER_STALL_MS,
    lameDuckMs: raw.lameDuckMs ?? LAME_DUCK_MS,
  };
}

function resolvePlacement(raw: EntryOptions["placement"]): PlacementFactory {
  if (typeof raw === "function") return raw;
  if (raw) return () => raw;
  return (policy) =>
    createPlacementPolicy(PolicyName.JustInTime, {
      objective: policy.objective,
    });
}
