/** `npm start`: keeps the demo deployment running until SIGINT or SIGTERM. */
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

/** Prints addresses and example commands, and drains on SIGINT or SIGTERM. */
export function keepRunning(
  deployment: DevDeployment,
  print: (line: string) => void,
): void {
  print("addresses:");
  for (const [name, address] of Object.entries(deployment.addresses)) {
    print(`  ${name} ${address}`);
  }
  const first = deployment.offices[0]?.entries[0]?.addresses;
  print("commands to try:");
  for (
    const line of commandsToTry(first?.callers ?? "", first?.operators ?? "")
  ) print(`  ${line}`);
  print("stop with Ctrl-C");
  const stop = () => void deployment.drain().finally(() => process.exit(0));
  process.once("SIGINT", stop);
  process.once("SIGTERM", stop);
}
