# Targets for people; CI runs .ci/run.
.PHONY: build demo test
build:
	go build -o bin/endivespring ./cmd/endivespring
demo: build
	scripts/demo.sh
test:
	go test -race -count=1 ./...
