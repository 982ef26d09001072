/** Configuration objects, patches, the change log, replicas and snapshots. */
export * from "./change.ts";
export {
  type ChangeLogOptions,
  createChangeLog,
  resolveChangeLogOptions,
  type ResolvedChangeLogOptions,
} from "./change_log.ts";
export * from "./change_log_contract.ts";
export * from "./config_view.ts";
export {
  type Evaluation,
  EvaluationKind,
  operationsForCreate,
  type Proposal,
} from "./evaluate.ts";
export { formatIssues, type Issue } from "./issue.ts";
export { CHANGES_PREFIX } from "./log_keys.ts";
export { objectJsonSchemas, type ObjectSchema } from "./object_schemas.ts";
export * from "./objects.ts";
export * from "./operator_messages.ts";
export {
  type AcceptedPatch,
  createConfigReplica,
  MemoryReplica,
  type ReplicaOptions,
} from "./replica.ts";
export * from "./replica_contract.ts";
export {
  issuesFromZodError,
  validateObject,
  type Validation,
} from "./validate.ts";
