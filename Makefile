# Targets for developers and CI. `make demo` and `make test` are the README's
# two commands.

MODULES := ./... ./operator/... ./standin/...
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
BIN := bin

.PHONY: all build test unit race lint format demo measure bench capacity fuzz proto

all: build

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

# Everything that CI checks.
test: lint build unit race

unit:
	go test $(MODULES)

race:
	go test -race ./internal/core/... ./internal/wire/...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet $(MODULES)
	go run $(STATICCHECK) $(MODULES)

format:
	gofmt -w .

proto:
	protoc --go_out=. --go_opt=module=amaranthwheel.example/amaranthwheel internal/*pb/*.proto

# Runs the whole path as separate processes; see standin/demo/demo.sh.
demo: build
	standin/demo/demo.sh $(BIN)

measure:
	go run ./standin/cmd/measure
