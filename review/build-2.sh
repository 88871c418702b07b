#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10: target/review2/rig2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -tags review -o target/review2/rig2 ./review/rig2
