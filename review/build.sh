#!/bin/sh
# Builds the stand-ins that the scripts start. The programs of the project are built by
# the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
