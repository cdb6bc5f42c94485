package controller_test

import (
	"flag"
	"os"
	"testing"
)

// ciChecks keeps the model within the time of a CI run; -rapid.checks runs more.
const ciChecks = "30"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", ciChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
