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

/** Creates the placement policy for a routing policy. */
export type PlacementFactory = (policy: Policy) => PlacementPolicy;

/** Options of an entry. */
export interface EntryOptions {
  /** Unique name of this entry process, different after each restart. */
  entryId: string;
  office: string;
  availabilityZone: string;
  /** Address of the callers' listener. @default "127.0.0.1" */
  host?: string;
  /** Port of the callers' listener; 0 picks a free port. @default 0 */
  port?: number;
  /** Secret that is sent with calls to sidecars. */
  secret: Secret;
  config: ConfigView;
  hosts: HostView;
  /** Store for the claims of callers' idempotency keys; used for nothing else. */
  store: ObjectStore;
  /** One policy for all services, or a factory that gets the routing policy. @default the just-in-time policy with the routing policy's objective */
  placement?: PlacementPolicy | PlacementFactory;
  /** @default the process clock */
  clock?: Clock;
  /** Milliseconds since the epoch, for the age of claims. @default the system clock */
  wallClock?: Clock;
  /** Random numbers for jitter. @default randomly seeded */
  random?: Random;
  /** Maximum body size of a caller's request, in bytes. @default 2097152 */
  maxBodyBytes?: number;
  /** Time after which a caller that does not read its stream is disconnected, in milliseconds. @default 20000 */
  callerStallMs?: number;
  /** Time after the start of a drain during which new requests are still accepted, in milliseconds. @default 1000 */
  lameDuckMs?: number;
}

/** Options with all defaults filled in. */
export interface ResolvedEntryOptions extends Required<EntryOptions> {
  placement: PlacementFactory;
}

/** Fills in the defaults. */
export function resolveEntryOptions(
  options: EntryOptions,
): ResolvedEntryOptions {
  return {
    ...options,
    placement: resolvePlacement(options.placement),
    host: options.host ?? "127.0.0.1",
    port: options.port ?? 0,
    clock: options.clock ?? systemClock,
    wallClock: options.wallClock ?? { now: Date.now },
    random: options.random ?? createRandom(randomInt(2 ** 31)),
    maxBodyBytes: options.maxBodyBytes ?? MAX_BODY_BYTES,
    callerStallMs: options.callerStallMs ?? CALLER_STALL_MS,
    lameDuckMs: options.lameDuckMs ?? LAME_DUCK_MS,
  };
}

function resolvePlacement(
  placement: EntryOptions["placement"],
): PlacementFactory {
  if (typeof placement === "function") return placement;
  if (placement) return () => placement;
  return (policy) =>
    createPlacementPolicy(PolicyName.JustInTime, {
      objective: policy.objective,
    });
}
