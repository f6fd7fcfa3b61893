# Everything that a person runs: see README.md.
PROGRAMS := amaranthramp amaranthramp-gateway amaranthramp-entry amaranthramp-control amaranthramp-load amaranthramp-standin
GOLANGCI_LINT_VERSION := v2.15.0
GOPLS_VERSION := v0.21.1
TOOLS := $(CURDIR)/build/tools
LINT := $(TOOLS)/golangci-lint
GOPLS := $(TOOLS)/gopls

.PHONY: build demo test bench faults soak lint format rename generate

build:
	mkdir -p build
	go build -o build/ $(addprefix ./cmd/,$(PROGRAMS))

demo: build
	build/amaranthramp-load demo

test: build $(LINT)
	./scripts/test

bench: build
	build/amaranthramp-load bench

faults: build
	build/amaranthramp-load faults

soak: build
	build/amaranthramp-load soak -seeds 5

lint: $(LINT)
	$(LINT) run ./...

format: $(LINT)
	$(LINT) fmt ./...

# make rename AT=FILE:LINE:COLUMN TO=NAME renames an identifier with all its uses.
rename: $(GOPLS)
	$(GOPLS) rename -w $(AT) $(TO)

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)

$(GOPLS):
	GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Needs protoc of Debian's protobuf-compiler; the build itself uses the committed output.
generate:
	GOBIN=$(TOOLS) go install google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(TOOLS):$$PATH" protoc -I . --go_out=. --go_opt=paths=source_relative wire/*.proto
