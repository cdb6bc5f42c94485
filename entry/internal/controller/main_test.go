package controller_test

import (
	"os"
	"testing"

	"bramleystand.org/common/seed"
)

func TestMain(m *testing.M) {
	os.Exit(seed.Run(m, "200"))
}
