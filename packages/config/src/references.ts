/**
 * Checks between objects. They run in the order of the log, against the state
 * after every earlier change, so that two proposers can't break a reference
 * between them.
 */
import { BackendRole } from "@sassafrascleat/protocol";
import type { AnyObject, ObjectReader } from "./config_state.ts";
import type { Issue } from "./issue.ts";
import {
  type Customer,
  ObjectKind,
  type Pool,
  type Service,
  ServiceKind,
} from "./objects.ts";

/** A pool that a service names, and the role that it must have. */
interface PoolReference {
  path: string;
  pool: string;
  role: BackendRole;
}

function poolReferences(service: Service): PoolReference[] {
  if (service.kind === ServiceKind.Plain) {
    return [{ path: "/pool", pool: service.pool, role: BackendRole.Plain }];
  }
  return [
    {
      path: "/prefillPool",
      pool: service.prefillPool,
      role: BackendRole.Prefill,
    },
    { path: "/decodePool", pool: service.decodePool, role: BackendRole.Decode },
  ];
}

function checkService(state: ObjectReader, service: Service): Issue[] {
  const issues: Issue[] = [];
  for (const { path, pool, role } of poolReferences(service)) {
    const found = state.get(ObjectKind.Pool, pool)?.object;
    if (found?.role === role && found.office === service.office) continue;
    const expected =
      `the name of a pool with role ${role} in office ${service.office}`;
    issues.push({ path, value: pool, expected });
  }
  if (!state.get(ObjectKind.Policy, service.policy)) {
    const expected = "the name of a routing policy that exists";
    issues.push({ path: "/policy", value: service.policy, expected });
  }
  return issues;
}

/** Services that name `pool`, with the role that they need of it. */
function servicesUsingPool(state: ObjectReader, pool: string) {
  return state.list(ObjectKind.Service).flatMap(({ object }) =>
    poolReferences(object)
      .filter((reference) => reference.pool === pool)
      .map(({ role }) => ({ service: object, role }))
  );
}

function checkPool(state: ObjectReader, pool: Pool): Issue[] {
  return servicesUsingPool(state, pool.name).flatMap(({ service, role }) => {
    const issues: Issue[] = [];
    const user = `since service ${service.name} uses the pool`;
    if (pool.role !== role) {
      const expected = `${role}, ${user}`;
      issues.push({ path: "/role", value: pool.role, expected });
    }
    if (pool.office !== service.office) {
      const expected = `${service.office}, ${user}`;
      issues.push({ path: "/office", value: pool.office, expected });
    }
    return issues;
  });
}

function checkCustomer(state: ObjectReader, customer: Customer): Issue[] {
  const used = new Set(
    state.list(ObjectKind.Customer)
      .filter(({ object }) => object.name !== customer.name)
      .flatMap(({ object }) => object.keySha256),
  );
  return customer.keySha256.flatMap((value, index) =>
    used.has(value)
      ? [{
        path: `/keySha256/${index}`,
        value,
        expected: "a key that no other customer has",
      }]
      : []
  );
}

/** Checks the references from and to an object that is to be in force. */
export function checkReferences(
  state: ObjectReader,
  kind: ObjectKind,
  object: AnyObject,
): Issue[] {
  switch (kind) {
    case ObjectKind.Service:
      return checkService(state, object as Service);
    case ObjectKind.Pool:
      return checkPool(state, object as Pool);
    case ObjectKind.Customer:
      return checkCustomer(state, object as Customer);
    case ObjectKind.Policy:
      return [];
  }
}

/** Checks that nothing refers to an object that is to be deleted. */
export function checkNotReferenced(
  state: ObjectReader,
  kind: ObjectKind,
  name: string,
): Issue[] {
  const services = state.list(ObjectKind.Service).map(({ object }) => object);
  const users = services.filter((service) =>
    kind === ObjectKind.Policy
      ? service.policy === name
      : kind === ObjectKind.Pool &&
        poolReferences(service).some(({ pool }) => pool === name)
  );
  if (users.length === 0) return [];
  const names = users.map((service) => service.name).join(", ");
  const expected =
    `a ${kind} that no service uses; change or delete ${names} first`;
  return [{ path: "", value: name, expected }];
}
