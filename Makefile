# Targets for developers and CI. `make demo` and `make test` need only Go and
# access to the module proxy.

TOOLS := bin/buf bin/protoc-gen-go bin/protoc-gen-go-grpc bin/stringer bin/staticcheck bin/gofumpt bin/benchstat

.PHONY: build demo test check generate bench table trial soak tools

build:
	go build -o bin/ ./cmd/...

demo: build
	go run ./internal/trial/demo

# The test cache does not see that the trials and the soak test build the programs, so
# these tests run with -count=1. They run one package at a time, because the crowd tests
# measure memory apart from other load.
test: check
	skip=$$(bash scripts/known-red.sh) && \
	go test -race $$skip $$(go list ./... | grep -v -e /internal/trial/ -e /platform$$) && \
	go test -race -count=1 -timeout 20m -p 1 $$skip ./internal/trial/... ./platform

# The soak test of the programs on the platform: 50 seeds, each with planned work, with
# mixed faults and with hand-overs.
soak:
	SOAK_SEEDS=50 go test -count=1 -timeout 60m -run Soak -v ./platform

check: tools
	bash scripts/check.sh

generate: tools
	bin/buf generate
	go generate ./...

# All benchmarks. Those with fleets of processes take most of an hour.
bench:
	go test -run '^$$' -bench . -benchmem -timeout 2h ./...

# Compares the routing policy with its baselines, under load and faults.
table:
	go test ./internal/routing -run Table -v

# The failure scripts with the real programs, including the long ones.
trial:
	BILBERRYROCK_LONG=1 go test ./internal/trial/failure -run Scripts -v -count=1 -timeout 20m

tools: $(TOOLS)

bin/buf: tools/buf/go.mod
	go -C tools/buf build -o ../../bin/buf github.com/bufbuild/buf/cmd/buf

bin/protoc-gen-go: tools/go.mod
	go -C tools build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go

bin/protoc-gen-go-grpc: tools/go.mod
	go -C tools build -o ../bin/ google.golang.org/grpc/cmd/protoc-gen-go-grpc

bin/stringer: tools/go.mod
	go -C tools build -o ../bin/ golang.org/x/tools/cmd/stringer

bin/staticcheck: tools/go.mod
	go -C tools build -o ../bin/ honnef.co/go/tools/cmd/staticcheck

bin/gofumpt: tools/go.mod
	go -C tools build -o ../bin/ mvdan.cc/gofumpt

bin/benchstat: tools/go.mod
	go -C tools build -o ../bin/ golang.org/x/perf/cmd/benchstat
