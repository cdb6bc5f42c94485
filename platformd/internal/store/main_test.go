package store_test

import (
	"os"
	"testing"

	"bramleystand.org/common/seed"
)

// TestMain fixes the random seed, so that the property tests give the same result on every run.
func TestMain(m *testing.M) {
	os.Exit(seed.RunTests(m, "100"))
}
