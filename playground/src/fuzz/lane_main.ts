/**
 * Process of one lane: `lane_main.js OPTIONS` runs the lane that the JSON
 * document describes and sends its events to the parent process. Any message of
 * the parent stops the lane after the run in progress.
 */
import { type LaneOptions, runLane } from "./lane.ts";
import { type LaneEvent, LaneEventKind } from "./lane_process.ts";

function send(event: LaneEvent, onSent: () => void = () => {}): void {
  process.send?.(event, onSent);
}

const stop = new AbortController();
process.once("message", () => stop.abort());
process.once("disconnect", () => process.exit(1));

const options = JSON.parse(process.argv[2] ?? "") as LaneOptions;
const report = await runLane(
  options,
  stop.signal,
  (effects) => send({ kind: LaneEventKind.Run, effects }),
);
send({ kind: LaneEventKind.Report, report }, () => process.exit(0));
