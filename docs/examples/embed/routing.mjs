/** Routing decisions alone: no clock, socket or store is read. */
import {
  createLoadHintTracker,
  createPlacementPolicy,
  PolicyName,
} from "@sassafrascleat/routing";
import { ManualClock } from "@sassafrascleat/runtime";

const backendServer = (name, availabilityZone) => ({
  name,
  office: "carolinas",
  availabilityZone,
  pool: "summarizer-decode",
  role: "decode",
  sidecarAddress: "http://10.0.0.1:7000",
  engineAddress: "http://10.0.0.1:9000",
  state: "live",
});

const hint = (running) => ({
  running,
  reserved: 0,
  slots: 20,
  freePieces: 200,
  totalPieces: 400,
  queuedTokens: 0,
  rate: 50,
  leaving: false,
});

/** Returns the decode backend servers to ask for one request, best first. */
export function run() {
  const clock = new ManualClock();
  const hints = createLoadHintTracker(clock);
  const servers = [
    backendServer("busy", "gastonia"),
    backendServer("idle", "kannapolis"),
  ];
  hints.recordHint("busy", hint(20));
  hints.recordHint("idle", hint(2));
  const policy = createPlacementPolicy(PolicyName.JustInTime, {
    objective: "waste",
  });
  const req = {
    requestId: "r-1",
    customer: "piedmont",
    requestClass: "standard",
    promptTokens: 4_000,
    maxOutputTokens: 400,
    expectedOutputTokens: 200,
    pieceHashes: ["a", "b"],
    arrivedAtMs: 0,
    firstTokenDueMs: 570,
    deadlineMs: 120_000,
    tbtTargetMs: 43,
  };
  return policy.decodeProbes(req, hints.states(servers), clock.now());
}
