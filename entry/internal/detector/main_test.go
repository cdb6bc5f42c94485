package detector_test

import (
	"os"
	"testing"

	"bramleystand.org/common/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.RunTests(m, "100"))
}
