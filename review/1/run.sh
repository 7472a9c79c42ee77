#!/usr/bin/env bash
# Exits with 1 if a rule was broken, 0 if all held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review/LateRefusal.class ] || bash review/build.sh || exit 2
folder="$(mktemp -d)" || exit 2
java -Xmx512m "-Djava.io.tmpdir=$folder" -cp target/review LateRefusal "$here/record.txt" &
pid=$!
trap 'kill $pid 2>/dev/null' INT TERM
wait $pid
result=$?
# A signal ends the first wait early; the second one is for the end of the program.
wait $pid 2>/dev/null
rm -rf "$folder"
case $result in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
