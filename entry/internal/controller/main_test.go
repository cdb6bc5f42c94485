package controller_test

import (
	"os"
	"testing"

	"bramleystand.org/common/seed"
)

// TestMain runs the random tests with a fixed seed and 200 checks unless flags choose others.
func TestMain(m *testing.M) {
	os.Exit(seed.RunTests(m, "200"))
}
