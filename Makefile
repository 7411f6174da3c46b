GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: build generate test demo lint mechanisms bench-capacity matrix fuzz bench-routing bench-placement bench-scale

build:
	go build -o bin/ ./cmd/...

generate:
	mkdir -p bin/gen
	GOBIN=$(CURDIR)/bin/gen go install google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/bin/gen:$$PATH protoc --go_out=. --go_opt=module=chervilridge --go-grpc_out=. --go-grpc_opt=module=chervilridge api/chervil/v1/*.proto

test:
	go test -count=1 ./...

demo: build
	scripts/demo.sh

lint:
	@test -z "$$(gofmt -l $(GOFILES))"
	go vet ./...
	go tool staticcheck ./...

# Switches each listed mechanism off in a scratch copy; its tests must fail.
mechanisms:
	go run ./tools/mechanisms

# Prints the slopes that docs/CAPACITY.md works with.
bench-capacity: build
	go run ./tools/bench-capacity

# matrix prints every fault at every step of a task's life with its verdict.
matrix:
	go test -count=1 -v -run 'TestMatrix$$' ./internal/matrix 2>/dev/null

# fuzz drives the life of tasks and the protocol between owner and agent, with
# fresh seeds.
fuzz:
	go test -count=1 -run TestTaskLifeAgainstOracle ./internal/shard -rapid.checks=20000 -rapid.seed=0
	go test -count=1 -run TestTaskProtocol ./internal/agent/grants -rapid.checks=20000 -rapid.seed=0
	go test -count=1 -run TestDecisionsKeepThePolicy ./internal/agent/colocation -rapid.checks=5000 -rapid.seed=0

# Compares all routing policies in one run on a fake clock.
bench-routing:
	go run ./cmd/chervil-bench-routing -seed 1
bench-placement:
	go run ./cmd/bench-placement -seeds 3

bench-scale:
	go run ./cmd/bench-scale
