// Package seed runs the property-based tests of a package with a fixed seed, so that
// every run has the same result. The flags of rapid override it: -rapid.seed=0 takes
// a random seed, -rapid.checks sets the number of checks.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		os.Exit(seed.RunTests(m, "100"))
//	}
package seed

import (
	"flag"
	"fmt"
	"os"
)

// fixedSeed is the seed of all packages. It can't be 0, which makes rapid take a random seed.
const fixedSeed = "1"

// TestRunner runs the tests of a package; *testing.M implements it.
type TestRunner interface{ Run() int }

// RunTests runs the tests with the fixed seed and the given number of checks, unless flags set
// others. It returns the exit code.
func RunTests(m TestRunner, checks string) int {
	flag.Parse()
	givenFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { givenFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.checks": checks} {
		if givenFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintf(os.Stderr, "seed: set %s: %v\n", name, err)
			return 1
		}
	}
	return m.Run()
}
