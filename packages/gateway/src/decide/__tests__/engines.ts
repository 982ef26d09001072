/** Decode engines for the tests of decisions. */
import {
  type Backend,
  BackendState,
  EngineStage,
} from "../../backends/backend.ts";

/** Returns `count` ready decode engines of one service. */
export function decodeEngines(count: number): Backend[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `e${index}`,
    service: "s",
    address: "127.0.0.1:1",
    zone: "z",
    slots: 32,
    state: BackendState.Ready,
    version: "v1",
    stage: EngineStage.Decode,
  }));
}
