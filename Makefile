GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')
# Seed and number of generated histories of the fuzz targets.
SEED ?= $(shell date +%s)
FUZZ_CHECKS ?= 20000

.PHONY: build test lint demo generate matrix mechanisms fuzz fuzz-tasks fuzz-request fuzz-ledger \
	bench-routing bench-placement bench-scale bench-request bench-heartbeat bench-capacity

build:
	go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l $(GOFILES))"
	go vet ./...
	go tool staticcheck ./...

# Runs the whole system on loopback and prints what happened.
demo: build
	scripts/demo.sh

# Makes the code of api/ anew; needs protoc.
generate:
	mkdir -p bin/gen
	GOBIN=$(CURDIR)/bin/gen go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/bin/gen:$$PATH protoc --go_out=. --go_opt=module=chervilridge --go-grpc_out=. --go-grpc_opt=module=chervilridge api/chervil/v1/*.proto api/chervil/v2/*.proto

# Prints every fault at every step of a task's life with its verdict.
matrix:
	go test -count=1 -v -run 'TestMatrix$$' ./internal/matrix 2>/dev/null

# Switches each listed mechanism off in a scratch copy; its tests must fail.
mechanisms:
	go run ./tools/mechanisms

# Long generated histories; SEED=n repeats a run.
fuzz: fuzz-tasks fuzz-request fuzz-ledger

fuzz-tasks:
	go test -count=1 -run TestTaskLifeAgainstOracle ./internal/shard -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$(SEED)
	go test -count=1 -run TestTaskProtocol ./internal/agent/grants -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$(SEED)
	go test -count=1 -run TestDecisionsKeepThePolicy ./internal/agent/colocation -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$(SEED)

fuzz-request:
	go test -count=1 -run 'TestRequestProtocol$$' ./internal/request/faulttest -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$(SEED)

fuzz-ledger:
	go test -count=1 -timeout 1h -run Oracle ./internal/table ./internal/ledger -rapid.checks=$(FUZZ_CHECKS) -rapid.seed=$(SEED)

# Compares all routing policies in one run on a fake clock.
bench-routing:
	go run ./tools/bench-routing -seed 1

# Compares placement with its baselines and an oracle on a fake clock.
bench-placement:
	go run ./tools/bench-placement -seeds 5

# Time and memory of planning by workers and tasks.
bench-scale:
	go run ./tools/bench-scale

# Latency, processor time and allocations that entry and agent add to a call.
bench-request:
	go test ./internal/bench/request -bench . -run xxx -benchtime 5000x

# Processor time and bytes of heartbeats at an entry by number of endpoints.
bench-heartbeat:
	go test ./internal/bench/heartbeat -bench . -run xxx -benchtime 20000x

# Prints the slopes that docs/CAPACITY.md works with.
bench-capacity: build
	go run ./tools/bench-capacity
