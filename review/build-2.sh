#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
compiler=javac
if [ -n "${JAVA_HOME:-}" ] && [ -x "$JAVA_HOME/bin/javac" ]; then compiler=$JAVA_HOME/bin/javac; fi
rm -rf target/review-2
mkdir -p target/review-2
"$compiler" -nowarn --release 17 -d target/review-2 review/standins2/*.java
