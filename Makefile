GOFILES := $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: build generate test demo lint bench-placement bench-scale

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

bench-placement:
	go run ./cmd/bench-placement -seeds 5

bench-scale:
	go run ./cmd/bench-scale
