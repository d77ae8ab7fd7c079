TOOLS := $(CURDIR)/.tools
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint format tools long bench

build:
	go build -o savoryfall .

test:
	go test -race ./...

tools:
	GOBIN=$(TOOLS) go install $(GOFUMPT)
	GOBIN=$(TOOLS) go install $(GOLANGCI)

lint: tools
	test -z "$$($(TOOLS)/gofumpt -l .)"
	$(TOOLS)/golangci-lint run ./...

format: tools
	$(TOOLS)/gofumpt -w .

# The properties again with many more histories than a usual run has, and others each time.
PROPERTIES := activeconfig claim directory fairness lease membership retrylimit

long:
	go test $(PROPERTIES:%=./core/%) -rapid.checks=20000 -rapid.seed=0

bench:
	go test -run '^$$' -bench . -benchmem ./core/...
