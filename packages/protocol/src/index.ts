/** Messages, outcome types and RPC contracts that the processes share. */
export * from "./backend.ts";
export * from "./constants.ts";
export * from "./control.ts";
export * from "./outcome.ts";
export * from "./plain_call.ts";
export * from "./prefill.ts";
export * from "./relay_presence.ts";
export * from "./relay_rpc.ts";
export * from "./reservation.ts";
export * from "./sidecar_rpc.ts";
export * from "./stream.ts";
