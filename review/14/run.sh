#!/usr/bin/env bash
# TROUBLE=0: no SIGTERM, and the replica doesn't pause.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-3/run-case.sh" Case14 "$here"
