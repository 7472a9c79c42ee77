#!/usr/bin/env bash
# TROUBLE=0: the other writer's entry is short.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-3/run-case.sh" Case13 "$here"
