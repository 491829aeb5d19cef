# `make demo` runs the main job on embedded stand-ins; `make check` passes all tests.
.PHONY: check demo format vet lint test tools

check: format vet lint test

demo:
	go run ./cmd/cardamompoint --quiet demo

format:
	@files="$$(gofmt -l .)"; if [ -n "$$files" ]; then echo "gofmt: $$files"; exit 1; fi

vet:
	go vet ./...

# The linter's version is pinned in go.mod.
lint:
	go tool staticcheck ./...

test:
	go run ./internal/tools/knownred

# Installs the developers' tool for renames; no check needs it.
tools:
	go install golang.org/x/tools/gopls@v0.23.0
