package revision_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/revision"
)

// Guards against a number that a restored store assigns again comparing below one of the earlier era.
func TestLaterEraIsGreater(t *testing.T) {
	must.Greater(t, revision.New(1, 1<<48-1), revision.New(2, 1))
	must.Greater(t, revision.New(2, 7), revision.New(2, 8))
}

// Guards against an era and a number that are mixed up when they are read back.
func TestParts(t *testing.T) {
	r := revision.New(3, 9)
	must.Eq(t, 3, r.Era())
	must.Eq(t, 9, r.Number())
	must.Eq(t, "3.9", r.String())
}
