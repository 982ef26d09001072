/** The orders that bring one backend server to the desired state of its pool. */
import type { Pool } from "@sassafrascleat/config";
import {
  BackendRole,
  type BackendServer,
  OrderKind,
  type OrderRequest,
} from "@sassafrascleat/protocol";

/** An order without its fencing number. */
export type OrderStep = Omit<OrderRequest, "fencingNumber">;

/** Steps in the sequence in which they are sent: role, model, adapters. */
export function stepsOf(pool: Pool, server: BackendServer): OrderStep[] {
  const steps: OrderStep[] = [];
  if (pool.role === BackendRole.Plain) return steps;
  if (pool.role !== server.role) {
    steps.push({ kind: OrderKind.ChangeRole, target: pool.role, version: "" });
  }
  if (pool.model) {
    const { model: target, modelVersion: version } = pool;
    steps.push({ kind: OrderKind.LoadModel, target, version });
  }
  for (const target of pool.adapters) {
    steps.push({ kind: OrderKind.LoadAdapter, target, version: "" });
  }
  return steps;
}

/** A key for the state that a pool requires of its engines; equal for equal states. */
export function desiredStateKeyOf(pool: Pool): string {
  const { role, model, modelVersion, adapters } = pool;
  return JSON.stringify([role, model, modelVersion, adapters]);
}
