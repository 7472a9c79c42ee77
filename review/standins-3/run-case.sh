#!/usr/bin/env bash
# Runs the case of the class $1 and writes record.txt to the folder $2. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
set -u
class=$1
folder=$(cd "$2" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -d "$root/target/review-3" ] || [ ! -d "$root/target/gateway" ]; then
  echo "build the deploy file's command and review/build-3.sh first"
  exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -k 2 116 java -Xmx600m -cp "$root/target/review-3" "$class" "$root" "$work" "$folder/record.txt" &
child=$!
# The JVM ends the routers that it started before it ends.
trap 'kill -TERM "$child" 2> /dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
