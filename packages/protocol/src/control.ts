/**
 * Control messages between entries, sidecars and operators. An entry is a
 * process that accepts requests from callers; a sidecar runs beside one backend
 * server.
 */
import { z } from "zod";
import type { BackendServer } from "./backend.ts";
import {
  type AttemptRef,
  attemptRefSchema,
  type LoadHint,
} from "./reservation.ts";

/** Renews the attempts of one entry at a sidecar. */
export const renewRequestSchema = z.object({
  entryId: z.string().min(1),
  attempts: z.array(attemptRefSchema),
});
export type RenewRequest = z.infer<typeof renewRequestSchema>;

/** Reply to a renewal; `missing` lists attempts that the sidecar does not hold. */
export interface RenewReply {
  incarnation: string;
  missing: AttemptRef[];
  hint: LoadHint;
}

/**
 * Cancels an attempt and all earlier ones, started or not. The sidecar records a
 * tombstone, so that the attempt cannot start later.
 */
export const cancelRequestSchema = attemptRefSchema;
export type CancelRequest = z.infer<typeof cancelRequestSchema>;

/** State of an attempt when it was cancelled. */
export enum CancelState {
  NotStarted = "not_started",
  Running = "running",
  Finished = "finished",
}

export interface CancelReply {
  incarnation: string;
  state: CancelState;
}

/** Starts or cancels the draining of a backend server. */
export const drainRequestSchema = z.object({
  /** True to start draining, false to cancel it. */
  leaving: z.boolean(),
});
export type DrainRequest = z.infer<typeof drainRequestSchema>;

export interface DrainReply {
  incarnation: string;
  leaving: boolean;
  /** Number of requests in progress that the drain waits for. */
  inFlight: number;
}

/** Kinds of orders to an engine. */
export enum OrderKind {
  LoadModel = "load_model",
  LoadAdapter = "load_adapter",
  ChangeRole = "change_role",
}

/** An order to an engine. A fencing number older than the last one is refused. */
export const orderRequestSchema = z.object({
  /** Sequence number of the configuration change that caused the order. */
  fencingNumber: z.number().int().min(1),
  kind: z.enum(OrderKind),
  /** Name of the model, adapter or role; `version` is its version, if it has one. */
  target: z.string().min(1),
  version: z.string(),
});
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** State of an order. */
export enum OrderState {
  Refused = "refused",
  Running = "running",
  Done = "done",
  Failed = "failed",
}

export interface OrderReply {
  incarnation: string;
  state: OrderState;
  /** Highest fencing number that the sidecar has seen. */
  fencingNumber: number;
  message: string;
}

/** Status of a sidecar and its backend server. */
export interface SidecarStatus {
  backendServer: BackendServer;
  incarnation: string;
  leaving: boolean;
  hint: LoadHint;
  inFlight: number;
  lastOrder?: OrderReply;
}
