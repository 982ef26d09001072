/** The sassafrascleatd program: settings, wiring and exit codes. */
export {};
