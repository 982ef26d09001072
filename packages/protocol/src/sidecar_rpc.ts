/**
 * tRPC contract of a sidecar's system listener. A sidecar implements
 * `SidecarControl`; entries use `SidecarRouter` as their client type.
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

/** Control calls that a sidecar serves. All are idempotent. */
export interface SidecarControl {
  reserve(req: ReserveRequest): Promise<ReserveReply>;
  prefill(req: PrefillRequest): Promise<PrefillReply>;
  renew(req: RenewRequest): Promise<RenewReply>;
  cancel(req: CancelRequest): Promise<CancelReply>;
  drain(req: DrainRequest): Promise<DrainReply>;
  order(req: OrderRequest): Promise<OrderReply>;
  status(): Promise<SidecarStatus>;
}

const trpc = initTRPC.create();

/** Creates the tRPC router that serves `control`. */
export function createSidecarRouter(control: SidecarControl) {
  return trpc.router({
    reserve: trpc.procedure.input(reserveRequestSchema)
      .mutation(({ input }) => control.reserve(input)),
    prefill: trpc.procedure.input(prefillRequestSchema)
      .mutation(({ input }) => control.prefill(input)),
    renew: trpc.procedure.input(renewRequestSchema)
      .mutation(({ input }) => control.renew(input)),
    cancel: trpc.procedure.input(cancelRequestSchema)
      .mutation(({ input }) => control.cancel(input)),
    drain: trpc.procedure.input(drainRequestSchema)
      .mutation(({ input }) => control.drain(input)),
    order: trpc.procedure.input(orderRequestSchema)
      .mutation(({ input }) => control.order(input)),
    status: trpc.procedure.query(() => control.status()),
  });
}

/** Router type that sidecar clients use. */
export type SidecarRouter = ReturnType<typeof createSidecarRouter>;
