/**
 * The tRPC contract of a sidecar's system listener. `SidecarControl` is what a
 * sidecar implements; entries use `SidecarRouter` as their client type.
 */
import { initTRPC } from "@trpc/server";
import {
  type CancelReply,
  type CancelRequest,
  cancelRequestSchema,
  type DrainReply,
  type DrainRequest,
  drainRequestSchema,
  type OrderReply,
  type OrderRequest,
  orderRequestSchema,
  type RenewReply,
  type RenewRequest,
  renewRequestSchema,
  type SidecarStatus,
} from "./control.ts";
import {
  type PrefillReply,
  type PrefillRequest,
  prefillRequestSchema,
} from "./prefill.ts";
import {
  type ReserveReply,
  type ReserveRequest,
  reserveRequestSchema,
} from "./reservation.ts";

/** Mount path of the router on the system listener. */
export const SIDECAR_RPC_PATH = "/rpc";

/** The control calls of a sidecar. All are idempotent. */
export interface SidecarControl {
  reserve(req: ReserveRequest): Promise<ReserveReply>;
  prefill(req: PrefillRequest): Promise<PrefillReply>;
  renew(req: RenewRequest): Promise<RenewReply>;
  cancel(req: CancelRequest): Promise<CancelReply>;
  drain(req: DrainRequest): Promise<DrainReply>;
  order(req: OrderRequest): Promise<OrderReply>;
  status(): Promise<SidecarStatus>;
}

const t = initTRPC.create();

/** Makes the router that serves `control`. */
export function createSidecarRouter(control: SidecarControl) {
  return t.router({
    reserve: t.procedure.input(reserveRequestSchema)
      .mutation(({ input }) => control.reserve(input)),
    prefill: t.procedure.input(prefillRequestSchema)
      .mutation(({ input }) => control.prefill(input)),
    renew: t.procedure.input(renewRequestSchema)
      .mutation(({ input }) => control.renew(input)),
    cancel: t.procedure.input(cancelRequestSchema)
      .mutation(({ input }) => control.cancel(input)),
    drain: t.procedure.input(drainRequestSchema)
      .mutation(({ input }) => control.drain(input)),
    order: t.procedure.input(orderRequestSchema)
      .mutation(({ input }) => control.order(input)),
    status: t.procedure.query(() => control.status()),
  });
}

/** The client's view of a sidecar. */
export type SidecarRouter = ReturnType<typeof createSidecarRouter>;
