/** Exit codes of the `sassafrascleat` command-line program. */
export { ExitCode } from "./exit_code.ts";
