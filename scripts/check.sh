#!/usr/bin/env bash
# Checks the formatting, runs the linters and checks that generated code is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(bin/gofumpt -l cmd internal api platform 2>/dev/null | grep -v '\.pb\.go$' || true)
if [ -n "$unformatted" ]; then
	echo "not formatted by gofumpt:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
bin/staticcheck ./...

# Generates the code again and compares the result with the committed files.
before=$(git ls-files -s -- '*.pb.go' '*_string.go'; git diff -- '*.pb.go' '*_string.go')
bin/buf generate
go generate ./...
after=$(git ls-files -s -- '*.pb.go' '*_string.go'; git diff -- '*.pb.go' '*_string.go')
if [ "$before" != "$after" ]; then
	echo "generated code is out of date: run 'make generate' and commit the result"
	exit 1
fi
