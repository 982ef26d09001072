/** `npm start`: keeps the demo's deployment running until a signal. */
import {
  DEV_OPERATOR_SECRET,
  type DevDeployment,
} from "@sassafrascleat/daemon";

function commandsToTry(address: string, operators: string): string[] {
  return [
    `curl -N ${address}/v1/completions -H 'content-type: application/json' \\`,
    `  -d '{"model":"grievance-summarizer","prompt":"Summarize.","max_tokens":40,"stream":true}'`,
    `curl ${address}/services/whistle-app/punches`,
    `curl ${address}/metrics`,
    `export SASSAFRASCLEAT_SECRET=${DEV_OPERATOR_SECRET}`,
    `npx sassafrascleat status --endpoint ${operators}`,
  ];
}

/** Prints addresses and commands, and drains on SIGINT or SIGTERM. */
export function keepRunning(
  deployment: DevDeployment,
  say: (line: string) => void,
): void {
  say("addresses:");
  for (const [name, address] of Object.entries(deployment.addresses)) {
    say(`  ${name} ${address}`);
  }
  const first = deployment.offices[0]?.entries[0]?.addresses;
  say("commands to try:");
  for (
    const line of commandsToTry(first?.callers ?? "", first?.operators ?? "")
  ) say(`  ${line}`);
  say("stop with Ctrl-C");
  const stop = () => void deployment.drain().finally(() => process.exit(0));
  process.once("SIGINT", stop);
  process.once("SIGTERM", stop);
}
