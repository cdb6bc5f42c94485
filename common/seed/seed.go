// Package seed makes the random tests of a package run with a fixed seed, so that
// they have one verdict on every run. The flags of rapid still choose others:
// -rapid.seed=0 takes a random seed, -rapid.checks runs more.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		os.Exit(seed.Run(m, "100"))
//	}
package seed

import (
	"flag"
	"fmt"
	"os"
)

// fixed is the seed of all packages; 0 would be a random one.
const fixed = "1"

// Tests is a *testing.M.
type Tests interface{ Run() int }

// Run runs the tests with the fixed seed and the given number of checks, unless flags say otherwise.
func Run(m Tests, checks string) int {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fixed, "rapid.checks": checks} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintf(os.Stderr, "seed: set %s: %v\n", name, err)
			return 1
		}
	}
	return m.Run()
}
