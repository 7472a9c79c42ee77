#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start; nothing but the JDK is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:-options --release 17 -d target/review-3 review/standins-3/*.java
