GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: build generate test demo lint

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

.PHONY: fuzz fuzz-request

fuzz: fuzz-request

# Random histories of the request protocol; SEED=n repeats a run.
fuzz-request:
	go test -count=1 ./internal/request/faulttest -run 'TestRequestProtocol$$' -rapid.checks=200000 -rapid.seed=$(or $(SEED),$(shell date +%s)) -v | grep -v '^I'

.PHONY: bench-request bench-heartbeat

# Latency, processor time and allocations that entry and agent add to a call.
bench-request:
	go test ./internal/bench/request -bench . -run xxx -benchtime 5000x

# Processor time and bytes of heartbeats at an entry by number of endpoints.
bench-heartbeat:
	go test ./internal/bench/heartbeat -bench . -run xxx -benchtime 20000x
