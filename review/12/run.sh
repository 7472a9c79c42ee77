#!/usr/bin/env bash
# TROUBLE=0: the same changes of a configuration without the 1,400 more routes.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-3/run-case.sh" Case12 "$here"
