# Targets for developers and CI. `make demo` and `make test` are the README's
# two commands.

MODULES := ./... ./operator/... ./standin/...
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
GOPLS := golang.org/x/tools/gopls@v0.23.0
BIN := bin
FUZZTIME := 10s

SEED := 0
SEEDS := 1

.PHONY: all build deploy test unit race lint format tools demo measure bench capacity fuzz proto soak

all: build

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

# Builds as the users' platform does, with the line of the deploy file.
deploy:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

# Everything that CI checks.
test: lint build deploy unit race

# Runs the daemons under random faults; see docs/SOAK.md.
soak: build
	$(BIN)/soak -binary $(BIN)/amaranthwheel -seed $(SEED) -seeds $(SEEDS)

# Passes over the tests that KNOWN-RED.txt lists, which .ci/run runs apart.
unit:
	go test -skip '$(shell .ci/known-red skip)' $(MODULES)

race:
	go test -race ./internal/core/... ./internal/wire/... ./internal/control/... ./internal/direct/...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet $(MODULES)
	go run $(STATICCHECK) $(MODULES)

format:
	gofmt -w .

# Installs the tool that renames identifiers with all their uses: gopls rename.
tools:
	go install $(GOPLS)

proto:
	protoc --go_out=. --go_opt=module=amaranthwheel.example/amaranthwheel internal/*pb/*.proto

# Benchmarks with fixed counts, a few seconds in all. Ratios are against the
# baselines in the same run.
bench:
	go test -run '^$$' -bench 'Home|Route' -benchtime 20000x ./internal/core/routing ./internal/balancer
	go test -run '^$$' -bench 'Parallel' -benchtime 100000x -cpu 1,2,4 ./internal/balancer
	go test -run '^$$' -bench 'Change|FullMap' -benchtime 100x ./internal/core/routing
	go test -run '^$$' -bench . -benchtime 2000x ./internal/core/directory
	go test -run '^$$' -bench . -benchtime 20000x ./internal/core/steering

# Measures the slopes and rewrites docs/CAPACITY.md.
capacity:
	go run ./standin/cmd/capacity

# Runs the whole path as separate processes; see standin/demo/demo.sh.
demo: build
	standin/demo/demo.sh $(BIN)

# Compares ways to carry flows in virtual time, then measures the daemons.
measure:
	go run ./standin/cmd/measure
	for seed in 1 2 3; do MEASURE_SEED=$$seed go test -count=1 -v -run TestMeasure ./standin/scenario || exit 1; done

# Fuzzes everything that reads bytes from outside. CI runs the corpora only.
fuzz:
	cd operator && go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./declaration
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) ./internal/settings
	go test -run '^$$' -fuzz FuzzReadMessage -fuzztime $(FUZZTIME) ./internal/control
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/wire
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME) ./internal/steerwire
	go test -run '^$$' -fuzz FuzzPacket -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzConfiguration -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz FuzzMessage -fuzztime $(FUZZTIME) ./internal/core/directory
	go test -run '^$$' -fuzz FuzzTxnResponse -fuzztime $(FUZZTIME) ./internal/store
	go test -run '^$$' -fuzz FuzzWatchStream -fuzztime $(FUZZTIME) ./internal/store
	go test -run '^$$' -fuzz FuzzSnapshot -fuzztime $(FUZZTIME) ./internal/configstore
	go test -run '^$$' -fuzz FuzzRecords -fuzztime $(FUZZTIME) ./internal/configstore
