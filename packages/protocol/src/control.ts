/** Control messages between entries, sidecars and operators. */
import { z } from "zod";
import type { BackendServer } from "./backend.ts";
import {
  type AttemptRef,
  attemptRefSchema,
  type LoadHint,
} from "./reservation.ts";

/** Renews an entry's attempts at one sidecar. */
export const renewRequestSchema = z.object({
  entryId: z.string().min(1),
  attempts: z.array(attemptRefSchema),
});
export type RenewRequest = z.infer<typeof renewRequestSchema>;

/** Tells which of the renewed attempts the sidecar does not hold. */
export interface RenewReply {
  incarnation: string;
  missing: AttemptRef[];
  hint: LoadHint;
}

/** Ends an attempt and every earlier one, started or not; leaves a tombstone. */
export const cancelRequestSchema = attemptRefSchema;
export type CancelRequest = z.infer<typeof cancelRequestSchema>;

/** What an attempt was when it was cancelled. */
export enum CancelState {
  NotStarted = "not_started",
  Running = "running",
  Finished = "finished",
}

export interface CancelReply {
  incarnation: string;
  state: CancelState;
}

/** Why a backend server leaves. */
export const drainRequestSchema = z.object({
  /** True to leave, false to take a notice back. */
  leaving: z.boolean(),
});
export type DrainRequest = z.infer<typeof drainRequestSchema>;

export interface DrainReply {
  incarnation: string;
  leaving: boolean;
  /** Requests in flight that the drain waits for. */
  inFlight: number;
}

/** Kinds of orders to an engine. */
export enum OrderKind {
  LoadModel = "load_model",
  LoadAdapter = "load_adapter",
  ChangeRole = "change_role",
}

/** An order to an engine, fenced: an order older than the last one is refused. */
export const orderRequestSchema = z.object({
  /** The sequence number of the configuration change that the order follows. */
  fencingNumber: z.number().int().min(1),
  kind: z.enum(OrderKind),
  /** Model, adapter or role, with its version where it has one. */
  target: z.string().min(1),
  version: z.string(),
});
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** Progress of an order. */
export enum OrderState {
  Refused = "refused",
  Running = "running",
  Done = "done",
  Failed = "failed",
}

export interface OrderReply {
  incarnation: string;
  state: OrderState;
  /** The highest fencing number seen. */
  fencingNumber: number;
  message: string;
}

/** What a sidecar reports about itself. */
export interface SidecarStatus {
  backendServer: BackendServer;
  incarnation: string;
  leaving: boolean;
  hint: LoadHint;
  inFlight: number;
  lastOrder?: OrderReply;
}
