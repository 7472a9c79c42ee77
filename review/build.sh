#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
