package rank_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/rank"
)

// Guards against rank names that do not parse back to their rank, and against an unknown name
// being accepted.
func TestParseString(t *testing.T) {
	for _, r := range []rank.Rank{rank.Confirmation, rank.Lookup, rank.Upload} {
		got, err := rank.Parse(r.String())
		must.NoError(t, err)
		must.Eq(t, r, got)
	}
	_, err := rank.Parse("bulk")
	must.ErrorContains(t, err, "bulk")
}
