/**
 * The deployment of the `dev` role: two offices with three availability zones
 * each. Each office has six model engines, split into a prefill and a decode
 * pool, and three plain backend servers.
 */
import {
  ObjectKind,
  RoutingObjective,
  ServiceKind,
} from "@sassafrascleat/config";
import { BackendRole } from "@sassafrascleat/protocol";

/** A planned backend server of the demo, which has no address yet. */
export interface PlannedBackend {
  name: string;
  availabilityZone: string;
  pool: string;
  role: BackendRole;
}

/** A configuration object to create at start. */
export interface PlannedObject {
  kind: ObjectKind;
  name: string;
  object: Record<string, unknown>;
}

/** One office of the demo. */
export interface PlannedOffice {
  office: string;
  availabilityZones: [string, string, string];
  backends: PlannedBackend[];
  objects: PlannedObject[];
}

/** Values that differ between the two offices. */
interface OfficePlan {
  office: string;
  availabilityZones: [string, string, string];
  modelService: string;
  model: string;
  objective: RoutingObjective;
  plainService: string;
  repeatable: { method: string; path: string }[];
}

/** Prefill engines of an office; the other model engines decode. */
const PREFILL_ENGINES = 2;
const MODEL_ENGINES = 6;
const PLAIN_BACKENDS = 3;

const CAROLINAS: OfficePlan = {
  office: "carolinas",
  availabilityZones: ["gastonia", "kannapolis", "rock-hill"],
  modelService: "summarizer",
  model: "grievance-summarizer",
  objective: RoutingObjective.Waste,
  plainService: "whistle-app",
  repeatable: [{ method: "GET", path: "/" }],
};

const TASMANIA: OfficePlan = {
  office: "tasmania",
  availabilityZones: ["hobart-a", "hobart-b", "kingston-c"],
  modelService: "design-assistant",
  model: "design-assistant",
  objective: RoutingObjective.Goodput,
  plainService: "order-desk",
  repeatable: [{ method: "GET", path: "/" }],
};

function planBackends(plan: OfficePlan): PlannedBackend[] {
  const backends: PlannedBackend[] = [];
  const add = (pool: string, role: BackendRole, index: number) => {
    const availabilityZone = plan.availabilityZones[index % 3] ?? "";
    backends.push({ name: `${pool}-${index}`, availabilityZone, pool, role });
  };
  for (let i = 0; i < PREFILL_ENGINES; i++) {
    add(`${plan.modelService}-prefill`, BackendRole.Prefill, i);
  }
  for (let i = 0; i < MODEL_ENGINES - PREFILL_ENGINES; i++) {
    add(`${plan.modelService}-decode`, BackendRole.Decode, i);
  }
  for (let i = 0; i < PLAIN_BACKENDS; i++) {
    add(plan.plainService, BackendRole.Plain, i);
  }
  return backends;
}

function planPools(plan: OfficePlan): PlannedObject[] {
  const pools = [
    { name: `${plan.modelService}-prefill`, role: BackendRole.Prefill },
    { name: `${plan.modelService}-decode`, role: BackendRole.Decode },
    { name: plan.plainService, role: BackendRole.Plain },
  ];
  return pools.map(({ name, role }) => ({
    kind: ObjectKind.Pool,
    name,
    object: {
      name,
      office: plan.office,
      role,
      model: role === BackendRole.Plain ? "" : plan.model,
      modelVersion: role === BackendRole.Plain ? "" : "1",
    },
  }));
}

function planServices(plan: OfficePlan): PlannedObject[] {
  const policy = `${plan.office}-policy`;
  const model = {
    kind: ServiceKind.Model,
    name: plan.modelService,
    office: plan.office,
    model: plan.model,
    prefillPool: `${plan.modelService}-prefill`,
    decodePool: `${plan.modelService}-decode`,
    policy,
  };
  const plain = {
    kind: ServiceKind.Plain,
    name: plan.plainService,
    office: plan.office,
    pool: plan.plainService,
    policy,
    repeatable: plan.repeatable,
  };
  return [
    {
      kind: ObjectKind.Policy,
      name: policy,
      object: { name: policy, objective: plan.objective },
    },
    ...planPools(plan),
    { kind: ObjectKind.Service, name: model.name, object: model },
    { kind: ObjectKind.Service, name: plain.name, object: plain },
  ];
}

function planOffice(plan: OfficePlan): PlannedOffice {
  return {
    office: plan.office,
    availabilityZones: plan.availabilityZones,
    backends: planBackends(plan),
    objects: planServices(plan),
  };
}

/** The two offices of the demo. */
export function planOffices(): PlannedOffice[] {
  return [planOffice(CAROLINAS), planOffice(TASMANIA)];
}
