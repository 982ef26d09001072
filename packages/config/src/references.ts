/**
 * Referential integrity checks between objects. They run in log order, against
 * the state after every earlier change, so that two concurrent proposals can't
 * each pass the checks and together break a reference.
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

/**
 * A reference from a service to a pool, with the role that the pool must have.
 */
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
    const expected = "the name of an existing routing policy";
    issues.push({ path: "/policy", value: service.policy, expected });
  }
  return issues;
}

/** Services that refer to `pool`, each with the role that it requires. */
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
    const explanation = `since service ${service.name} uses the pool`;
    if (pool.role !== role) {
      const expected = `${role}, ${explanation}`;
      issues.push({ path: "/role", value: pool.role, expected });
    }
    if (pool.office !== service.office) {
      const expected = `${service.office}, ${explanation}`;
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
        expected: "the hash of a key that no other customer uses",
      }]
      : []
  );
}

/** Checks the references from and to a new or changed object. */
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

/** Checks that no object refers to one that is about to be deleted. */
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
