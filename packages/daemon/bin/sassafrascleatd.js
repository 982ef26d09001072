#!/usr/bin/env node
/** Committed, since npm links programs at installation, before the build. */
import "../dist/main.js";
