.PHONY: build demo test

# Programs end up in bin/.
build:
	go build -o bin/ ./entry ./bramleyctl ./platformd ./backendd ./replay

demo: build
	bin/replay demo

test: build
	scripts/test
