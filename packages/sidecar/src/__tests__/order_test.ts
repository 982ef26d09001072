/** The sidecar enforces fencing numbers, since some engines ignore them. */
import { afterEach, beforeEach, expect, test } from "@jest/globals";
import {
  BackendRole,
  OrderKind,
  type OrderRequest,
  OrderState,
  RefusalReason,
} from "@sassafrascleat/protocol";
import { reserveRequest, TestEnvironment } from "./harness.ts";

let env: TestEnvironment;
beforeEach(() => {
  env = new TestEnvironment();
});
afterEach(() => env.close());

function load(fencingNumber: number, target = "model"): OrderRequest {
  return { fencingNumber, kind: OrderKind.LoadModel, target, version: "1" };
}

test("lower fencing numbers are refused and repeated orders run once", async () => {
  const { server, sidecar } = await env.node(BackendRole.Decode, {
    ignoreFencing: true,
  });
  const order = async (req: OrderRequest) =>
    (await sidecar.control.order(req)).state;
  expect(await order(load(5))).toBe(OrderState.Done);
  expect(await order(load(5))).toBe(OrderState.Done);
  expect(await order(load(5, "other"))).toBe(OrderState.Refused);
  expect(await order(load(3))).toBe(OrderState.Refused);
  expect(await order(load(6))).toBe(OrderState.Done);
  const followed = server.stats().orders.map((req) => req.fencingNumber);
  expect(followed).toEqual([5, 6]);
});

test("one fencing number covers a model and several adapters", async () => {
  const { server, sidecar } = await env.node(BackendRole.Decode);
  const adapter = (target: string): OrderRequest => ({
    fencingNumber: 5,
    kind: OrderKind.LoadAdapter,
    target,
    version: "",
  });
  const orders = [load(5), adapter("one"), adapter("two")];
  for (const req of [...orders, ...orders]) {
    const reply = await sidecar.control.order(req);
    expect(reply.state).toBe(OrderState.Done);
  }
  expect(server.stats().orders.map((req) => req.target))
    .toEqual(["model", "one", "two"]);
  const other = await sidecar.control.order(load(5, "other"));
  expect(other.state).toBe(OrderState.Refused);
});

test("a failed order can be sent again", async () => {
  const { server, sidecar } = await env.node(BackendRole.Decode);
  server.setFaults({ dead: true });
  const failed = await sidecar.control.order(load(1));
  expect(failed.state).toBe(OrderState.Failed);
  server.setFaults({ dead: false });
  expect((await sidecar.control.order(load(1))).state).toBe(OrderState.Done);
});

test("after a role change, requests for the old role are refused", async () => {
  const { sidecar } = await env.node(BackendRole.Decode);
  const reply = await sidecar.control.order({
    fencingNumber: 1,
    kind: OrderKind.ChangeRole,
    target: BackendRole.Prefill,
    version: "",
  });
  expect(reply.state).toBe(OrderState.Done);
  const { backendServer } = await sidecar.control.status();
  expect(backendServer.role).toBe(BackendRole.Prefill);
  expect(await sidecar.control.reserve(reserveRequest("r1")))
    .toMatchObject({ reason: RefusalReason.EngineDown });
});
